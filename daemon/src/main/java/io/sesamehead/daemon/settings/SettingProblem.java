package io.sesamehead.daemon.settings;

/**
 * One thing that is wrong in an INI file.
 *
 * @param section name of the section, empty when the file as a whole is meant
 * @param key the key, empty when the section as a whole is meant
 * @param message what is wrong and what is expected
 */
public record SettingProblem(String section, String key, String message) {
    @Override
    public String toString() {
        String place = section.isEmpty() ? "file" : "[" + section + "]";
        return place + (key.isEmpty() ? "" : " " + key) + ": " + message;
    }
}
