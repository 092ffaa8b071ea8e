package io.sesamehead.daemon.settings;

/**
 * A problem in an INI file.
 *
 * @param section name of the section, empty if the problem concerns the whole file
 * @param key the key, empty if the problem concerns the whole section
 * @param message what is wrong and what was expected
 */
public record SettingProblem(String section, String key, String message) {
    @Override
    public String toString() {
        String place = section.isEmpty() ? "file" : "[" + section + "]";
        return place + (key.isEmpty() ? "" : " " + key) + ": " + message;
    }
}
