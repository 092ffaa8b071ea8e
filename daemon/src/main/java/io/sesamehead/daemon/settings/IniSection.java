package io.sesamehead.daemon.settings;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Typed access to the keys of one section. A wrong value is reported and replaced by a harmless one, so that reading
 * goes on and all problems are found at once; {@link #reportUnknownKeys()} reports the keys that nobody asked for.
 */
final class IniSection {
    private static final Splitter LIST = Splitter.on(',').trimResults().omitEmptyStrings();
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9}) ?(ms|s|m|h)");
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern ADDRESS = Pattern.compile("\\[?([0-9a-fA-F.:]+)]?:(\\d{1,5})");
    private static final int MAX_PORT = 65535;

    private final String name;
    private final Map<String, String> values;
    private final ProblemCollector problems;
    private final Set<String> known = new LinkedHashSet<>();

    IniSection(String name, Map<String, String> values, ProblemCollector problems) {
        this.name = name;
        this.values = values;
        this.problems = problems;
    }

    String text(String key) {
        return value(key).orElseGet(() -> addMissing(key, "a text", "missing"));
    }

    String textOr(String key, String fallback) {
        return value(key).orElse(fallback);
    }

    /** Reads a name of lower-case letters, digits and dashes, as object names and URLs need it. */
    String name(String key) {
        Optional<String> value = value(key);
        if (value.isEmpty()) {
            return addMissing(key, "a name", "missing");
        }
        if (!isName(value.get())) {
            addInvalid(key, value.get(), "expected 1 to 63 lower-case letters, digits and dashes");
            return "invalid";
        }
        return value.get();
    }

    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    String oneOf(String key, String fallback, ImmutableSet<String> allowed) {
        String value = textOr(key, fallback);
        if (!allowed.contains(value)) {
            addInvalid(key, value, "expected one of " + String.join(", ", allowed));
            return fallback;
        }
        return value;
    }

    boolean flag(String key, boolean fallback) {
        String value = textOr(key, Boolean.toString(fallback));
        if (!value.equals("true") && !value.equals("false")) {
            addInvalid(key, value, "expected true or false");
            return fallback;
        }
        return value.equals("true");
    }

    int number(String key, Optional<Integer> fallback, int least, int most) {
        Optional<String> value = value(key);
        String expected = "an integer from " + least + " to " + most;
        if (value.isEmpty()) {
            return fallback.orElseGet(() -> addMissing(key, expected, least));
        }
        try {
            int number = Integer.parseInt(value.get());
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below together with numbers out of range.
        }
        addInvalid(key, value.get(), "expected " + expected);
        return least;
    }

    double fraction(String key, double fallback) {
        Optional<String> value = value(key);
        if (value.isEmpty()) {
            return fallback;
        }
        try {
            double number = Double.parseDouble(value.get());
            if (number >= 0 && number <= 1) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below together with numbers out of range.
        }
        addInvalid(key, value.get(), "expected a number from 0 to 1");
        return fallback;
    }

    Duration duration(String key, Optional<Duration> fallback, Duration least, Duration most) {
        String expected =
                "a duration from " + show(least) + " to " + show(most) + " with unit ms, s, m or h, e.g. 500ms";
        Optional<String> value = value(key);
        if (value.isEmpty()) {
            return fallback.orElseGet(() -> addMissing(key, expected, least));
        }
        Matcher matcher = DURATION.matcher(value.get());
        if (matcher.matches()) {
            Duration duration = duration(Long.parseLong(matcher.group(1)), matcher.group(2));
            if (duration.compareTo(least) >= 0 && duration.compareTo(most) <= 0) {
                return duration;
            }
        }
        addInvalid(key, value.get(), "expected " + expected);
        return least;
    }

    InetSocketAddress address(String key) {
        String expected = "an address ip:port";
        Optional<String> value = value(key);
        if (value.isEmpty()) {
            return addMissing(key, expected, new InetSocketAddress(0));
        }
        return parseAddress(value.get()).orElseGet(() -> {
            addInvalid(key, value.get(), "expected " + expected);
            return new InetSocketAddress(0);
        });
    }

    ImmutableList<InetSocketAddress> addresses(String key) {
        ImmutableList.Builder<InetSocketAddress> result = ImmutableList.builder();
        for (String item : list(key)) {
            parseAddress(item).ifPresentOrElse(result::add, () -> addInvalid(key, item, "expected a list of ip:port"));
        }
        return result.build();
    }

    ImmutableList<String> list(String key) {
        return ImmutableList.copyOf(LIST.split(textOr(key, "")));
    }

    /** Reads a list of at least one name. */
    ImmutableList<String> names(String key) {
        ImmutableList<String> items = list(key);
        for (String item : items) {
            if (!isName(item)) {
                addInvalid(key, item, "expected a list of names of lower-case letters, digits and dashes");
            }
        }
        if (ImmutableSet.copyOf(items).size() < items.size()) {
            addInvalid(key, String.join(", ", items), "a name is given twice");
        }
        return items;
    }

    void addInvalid(String key, String value, String expected) {
        problems.add(name, key, "\"" + value + "\" is not valid: " + expected);
    }

    <T> T addMissing(String key, String expected, T replacement) {
        problems.add(name, key, "missing; expected " + expected);
        return replacement;
    }

    /** Reports the keys of the section that were not read. */
    void reportUnknownKeys() {
        for (String key : values.keySet()) {
            if (!known.contains(key)) {
                problems.addUnknown(name, key, "key", known);
            }
        }
    }

    /** Parses {@code ip:port} without a name look-up. */
    static Optional<InetSocketAddress> parseAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            return Optional.empty();
        }
        try {
            InetAddress ip = InetAddresses.forString(matcher.group(1));
            return Optional.of(new InetSocketAddress(ip, Integer.parseInt(matcher.group(2))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private Optional<String> value(String key) {
        known.add(key);
        return Optional.ofNullable(values.get(key)).filter(value -> !value.isEmpty());
    }

    private static Duration duration(long amount, String unit) {
        return switch (unit) {
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            case "m" -> Duration.ofMinutes(amount);
            default -> Duration.ofHours(amount);
        };
    }

    private static String show(Duration duration) {
        return duration.toMillisPart() == 0 ? duration.toSeconds() + "s" : duration.toMillis() + "ms";
    }
}
