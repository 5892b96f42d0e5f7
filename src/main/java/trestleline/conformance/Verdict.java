package trestleline.conformance;

import java.util.ArrayList;
import java.util.List;

/**
 * The result of a check: for each rule the number of checks and violations, and a description of the first violation.
 */
public final class Verdict {
    /** The rules in order, in the words of the user documentation. */
    public static final List<String> RULES = List.of(
            "one answer in time",
            "no set-up twice",
            "drains kept",
            "no cold host pushed over",
            "floors and seats kept",
            "attempts within budget");

    private final int[] violationCount = new int[RULES.size()];
    private final String[] witness = new String[RULES.size()];
    private final int[] checkCount = new int[RULES.size()];

    void recordViolation(int rule, double at, String description) {
        if (violationCount[rule - 1]++ == 0)
            witness[rule - 1] = String.format(java.util.Locale.ROOT, "at %.1f ms: %s", at, description);
    }

    void recordCheck(int rule) {
        checkCount[rule - 1]++;
    }

    /** Returns how often a rule, 1 to 6, was violated. */
    public int violationCount(int rule) {
        return violationCount[rule - 1];
    }

    /** Returns how often a rule, 1 to 6, could have been violated. With 0, no violation says nothing about the rule. */
    public int checkCount(int rule) {
        return checkCount[rule - 1];
    }

    /** Returns the description of the first violation of a rule, 1 to 6, or null if there was none. */
    public String witness(int rule) {
        return witness[rule - 1];
    }

    /** Returns the numbers of the rules that were violated, in ascending order. */
    public List<Integer> violatedRules() {
        List<Integer> rules = new ArrayList<>();
        for (int rule = 1; rule <= RULES.size(); rule++) if (violationCount(rule) > 0) rules.add(rule);
        return rules;
    }
}
