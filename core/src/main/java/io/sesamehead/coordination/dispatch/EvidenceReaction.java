package io.sesamehead.coordination.dispatch;

/** A step that evidence against a target may justify. */
public enum EvidenceReaction {
    /** New calls go to other targets if there are any. */
    PREFER_OTHERS,
    /** A call in flight at the target may begin a second attempt elsewhere while the first one stays open. */
    SECOND_ATTEMPT,
    /** The calls that ran at the target may have crashed it. */
    COUNT_CRASH,
    /** The target's group is given up and replaced. */
    REPLACE
}
