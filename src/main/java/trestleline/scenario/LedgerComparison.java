package trestleline.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import trestleline.emulation.BillingServer;
import trestleline.emulation.MediaHost;
import trestleline.ledger.PaidStartTotals;
import trestleline.ledger.Reconciliation;
import trestleline.ledger.SealingKeys;

/**
 * Compares the attempts that billing holds with those that ran at the hosts.
 *
 * @param exportedByTenant attempts that billing holds, by tenant
 * @param ranByTenant attempts that ran at the hosts, by tenant
 * @param differingAttempts attempts that only one side has
 * @param onlyExported attempts that only billing has
 * @param onlyAtHosts attempts that only the hosts have
 * @param billingCounts counters of the billing service, as text
 * @param findings unexpected findings of the reconciliation
 */
public record LedgerComparison(
        Map<String, Long> exportedByTenant,
        Map<String, Long> ranByTenant,
        int differingAttempts,
        int onlyExported,
        int onlyAtHosts,
        String billingCounts,
        List<Reconciliation.Finding> findings) {
    private static final Set<String> EXPECTED_FINDINGS = Set.of("stale", "double");

    static LedgerComparison compare(Fleet fleet, BillingServer billing, SealingKeys keys) {
        Map<String, String> tenantByAttempt = new HashMap<>();
        for (MediaHost host : fleet.hosts()) tenantByAttempt.putAll(host.ran());
        Map<String, Long> ranByTenant = new TreeMap<>();
        tenantByAttempt.values().forEach(tenant -> ranByTenant.merge(tenant, 1L, Long::sum));
        PaidStartTotals totals = billing.totals();
        Set<String> onlyExported = new HashSet<>(totals.attempts());
        Set<String> onlyAtHosts = new HashSet<>(tenantByAttempt.keySet());
        onlyExported.removeAll(tenantByAttempt.keySet());
        onlyAtHosts.removeAll(totals.attempts());
        return new LedgerComparison(
                totals.byTenant(),
                ranByTenant,
                onlyExported.size() + onlyAtHosts.size(),
                onlyExported.size(),
                onlyAtHosts.size(),
                billing.counts() + ", " + totals.duplicates().size() + " duplicates counted once",
                audit(billing, keys));
    }

    /**
     * Reconciles what billing holds, heads included: gaps, forks, faults and chain ends that no head anchors. Stale
     * copies and the duplicates they cause are left out, since a scenario produces them on purpose.
     */
    private static List<Reconciliation.Finding> audit(BillingServer billing, SealingKeys keys) {
        Map<String, List<String>> linesByGateway = new TreeMap<>();
        for (String gateway : billing.gateways()) {
            List<String> lines = new ArrayList<>(billing.lines(gateway));
            lines.addAll(billing.heads(gateway));
            linesByGateway.put(gateway, lines);
        }
        return Reconciliation.reconcile(keys, linesByGateway).findings().stream()
                .filter(finding -> !EXPECTED_FINDINGS.contains(finding.kind()))
                .toList();
    }

    /** Whether both sides agree in every attempt and by tenant, and the reconciliation found nothing unexpected. */
    public boolean matches() {
        return differingAttempts == 0 && exportedByTenant.equals(ranByTenant) && findings.isEmpty();
    }

    /** Number of attempts that only one side has, plus the unexpected findings. */
    public int discrepancies() {
        return differingAttempts + findings.size();
    }

    String text() {
        return String.format(
                Locale.ROOT,
                "ledger: exported %s, ran at hosts %s: %s (%s)%n",
                exportedByTenant,
                ranByTenant,
                matches()
                        ? "equal"
                        : "DIFFERENT by " + differingAttempts + ", only exported " + onlyExported + ", only at hosts "
                                + onlyAtHosts
                                + (findings.isEmpty()
                                        ? ""
                                        : ", findings " + findings.size() + ", first: " + findings.get(0)),
                billingCounts);
    }
}
