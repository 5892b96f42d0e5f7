package trestleline.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import trestleline.conformance.Verdict;

/**
 * Result of a scenario run, as text and as JSON.
 *
 * @param scenario name of the scenario
 * @param seed seed of its random choices
 * @param durationS time in seconds during which viewers arrived
 * @param viewers viewers that arrived
 * @param asked requests for a playlist that the viewers made
 * @param played requests that were granted
 * @param refused requests that were refused
 * @param failed requests that failed
 * @param cutOff requests cut off by the crash of a gateway
 * @param abandoned requests that the viewer closed before an answer
 * @param unreachable requests that found no gateway
 * @param unanswered requests still without an answer at the end
 * @param segments segments fetched
 * @param interruptions breaks of a viewer's session
 * @param playedToEnd viewers that played their title to its end
 * @param stalledMs playback stall time of all viewers together
 * @param answerP50Ms median time to a viewer's first answer
 * @param answerP99Ms 99th percentile of the time to the first answer
 * @param answerMaxMs longest time to a first answer
 * @param setUps set-ups seen at the hosts
 * @param overloadedHosts cold hosts that went down because they got too many set-ups
 * @param unfinishedViewers viewers that had not finished at the end
 * @param verdict how often each placement rule was tried and broken
 * @param ledger comparison of billing with the hosts; null if the scenario has no ledger
 */
public record Report(
        String scenario,
        long seed,
        double durationS,
        long viewers,
        long asked,
        long played,
        long refused,
        long failed,
        long cutOff,
        long abandoned,
        long unreachable,
        long unanswered,
        long segments,
        long interruptions,
        long playedToEnd,
        double stalledMs,
        long answerP50Ms,
        long answerP99Ms,
        long answerMaxMs,
        long setUps,
        long overloadedHosts,
        long unfinishedViewers,
        Verdict verdict,
        LedgerComparison ledger) {
    /** Whether a rule was broken, the ledger differs from what ran, or requests are unaccounted for. */
    public boolean hasViolations() {
        return !verdict.violatedRules().isEmpty() || ledger != null && !ledger.matches() || unaccounted() != 0;
    }

    /** Requests without exactly one outcome; anything but 0 is a fault of the scenario runner itself. */
    public long unaccounted() {
        return asked - played - refused - failed - cutOff - abandoned - unreachable - unanswered;
    }

    /** Returns the result as human-readable lines. */
    public String text() {
        var text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "%s: %d viewers in %.0f s asked %d times: played %d, refused %d, failed %d, "
                        + "cut off by a gateway crash %d, abandoned by the viewer %d, no gateway reachable %d, unanswered at the end %d%s%n",
                scenario,
                viewers,
                durationS,
                asked,
                played,
                refused,
                failed,
                cutOff,
                abandoned,
                unreachable,
                unanswered,
                unaccounted() == 0 ? "" : "; OUTCOMES DO NOT ADD UP, off by " + unaccounted()));
        text.append(String.format(
                Locale.ROOT,
                "segments %d, interruptions %d, played to the end %d, stalled %.1f s in total; first "
                        + "answer p50 %d ms, p99 %d ms, max %d ms; set-ups at hosts %d; hosts down from overload %d%n",
                segments,
                interruptions,
                playedToEnd,
                stalledMs / 1000,
                answerP50Ms,
                answerP99Ms,
                answerMaxMs,
                setUps,
                overloadedHosts));
        for (int rule = 1; rule <= Verdict.RULES.size(); rule++) {
            text.append(String.format(
                    Locale.ROOT,
                    "rule %d, %s: %s%n",
                    rule,
                    Verdict.RULES.get(rule - 1),
                    verdict.violationCount(rule) == 0
                            ? "kept (" + verdict.checkCount(rule) + " occasions)"
                            : "BROKEN " + verdict.violationCount(rule) + " times of " + verdict.checkCount(rule)
                                    + "; first " + verdict.witness(rule)));
        }
        if (ledger != null) text.append(ledger.text());
        return text.toString();
    }

    /** Returns the result as indented JSON. */
    public String json() {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        ObjectNode root = mapper.createObjectNode()
                .put("day", scenario)
                .put("seed", seed)
                .put("seconds", durationS)
                .put("viewers", viewers)
                .put("asked", asked)
                .put("played", played)
                .put("refused", refused)
                .put("failed", failed)
                .put("cut", cutOff)
                .put("left", abandoned)
                .put("unheard", unreachable)
                .put("waiting", unanswered)
                .put("unaccounted", unaccounted())
                .put("segments", segments)
                .put("breaks", interruptions)
                .put("finished", playedToEnd)
                .put("stalledMs", stalledMs)
                .put("answerP50Ms", answerP50Ms)
                .put("answerP99Ms", answerP99Ms)
                .put("answerMaxMs", answerMaxMs)
                .put("setUps", setUps)
                .put("hostsFallen", overloadedHosts)
                .put("unended", unfinishedViewers);
        ObjectNode rules = root.putObject("rules");
        for (int rule = 1; rule <= Verdict.RULES.size(); rule++) {
            rules.putObject(Integer.toString(rule))
                    .put("name", Verdict.RULES.get(rule - 1))
                    .put("broken", verdict.violationCount(rule))
                    .put("occasions", verdict.checkCount(rule))
                    .put("witness", verdict.witness(rule));
        }
        if (ledger != null) {
            root.putObject("ledger")
                    .put("difference", ledger.differingAttempts())
                    .put("findings", ledger.findings().size())
                    .put("deskCounts", ledger.billingCounts())
                    .putPOJO("exported", ledger.exportedByTenant())
                    .putPOJO("seen", ledger.ranByTenant());
        }
        return root.toPrettyString();
    }
}
