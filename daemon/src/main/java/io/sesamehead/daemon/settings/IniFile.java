package io.sesamehead.daemon.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/** The sections of an INI file, with repeated sections and keys reported as problems. */
final class IniFile {
    private final Map<String, Map<String, String>> sections;

    private IniFile(Map<String, Map<String, String>> sections) {
        this.sections = sections;
    }

    static IniFile parse(String text, ProblemCollector problems) {
        Ini ini = new Ini();
        ini.setConfig(config());
        Map<String, Map<String, String>> sections = new LinkedHashMap<>();
        try {
            ini.load(new StringReader(text));
        } catch (IOException e) {
            problems.add("", "", "not a valid INI file: " + e.getMessage());
            return new IniFile(sections);
        }
        for (String name : ini.keySet()) {
            List<Profile.Section> same = ini.getAll(name);
            if (same.size() > 1) {
                problems.add(name, "", "the section is given " + same.size() + " times; give it once");
            }
            sections.put(name, values(name, same, problems));
        }
        return new IniFile(sections);
    }

    Set<String> names() {
        return sections.keySet();
    }

    boolean has(String name) {
        return sections.containsKey(name);
    }

    IniSection section(String name, ProblemCollector problems) {
        return new IniSection(name, sections.getOrDefault(name, Map.of()), problems);
    }

    private static Map<String, String> values(String name, List<Profile.Section> same, ProblemCollector problems) {
        Map<String, List<String>> all = new LinkedHashMap<>();
        for (Profile.Section section : same) {
            for (String key : section.keySet()) {
                all.computeIfAbsent(key, unused -> new ArrayList<>()).addAll(section.getAll(key));
            }
        }
        Map<String, String> values = new LinkedHashMap<>();
        all.forEach((key, given) -> {
            if (given.size() > 1) {
                problems.add(name, key, "the key is given " + given.size() + " times; give it once");
            }
            String last = given.get(given.size() - 1);
            values.put(key, last == null ? "" : last.strip());
        });
        return values;
    }

    private static Config config() {
        Config config = new Config();
        config.setMultiOption(true);
        config.setMultiSection(true);
        config.setEscape(false);
        config.setTree(false);
        config.setEmptyOption(true);
        config.setGlobalSection(false);
        return config;
    }
}
