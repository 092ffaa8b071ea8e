package io.sesamehead.coordination.dispatch;

/** Whether and how a call may be sent, given the crashes known of the parts of its prompt. */
public sealed interface PromptPartVerdict {
    /** No part of the prompt is suspected. */
    record Clear() implements PromptPartVerdict {}

    /**
     * A part may crash the groups that answer it. Calls with the part go to one group.
     *
     * @param part the part with the most crashes
     * @param crashes number of crashes
     */
    record Suspected(CrashSubject part, int crashes) implements PromptPartVerdict {}

    /**
     * A part crashes the groups that answer it. The call must not be sent.
     *
     * @param part the part
     * @param crashes number of crashes
     */
    record Refused(CrashSubject part, int crashes) implements PromptPartVerdict {}
}
