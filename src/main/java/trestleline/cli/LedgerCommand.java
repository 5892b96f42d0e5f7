package trestleline.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trestleline.config.ConfigException;
import trestleline.ledger.Compaction;
import trestleline.ledger.CompactionBase;
import trestleline.ledger.Entry;
import trestleline.ledger.Head;
import trestleline.ledger.PaidStartTotals;
import trestleline.ledger.Reconciliation;
import trestleline.ledger.SealedEntry;
import trestleline.ledger.SealingKeys;
import trestleline.ledger.store.MvStoreLedger;

/** Sub-commands that work on ledger files and their exports. */
@Command(
        name = "ledger",
        mixinStandardHelpOptions = true,
        description = "Reads, verifies, exports, corrects, compacts and reconciles "
                + "ledgers. A ledger that a gateway has open is locked: use an export or a copy.")
final class LedgerCommand implements Runnable {
    private static final String OPEN_END_OPTION = "--open-end";
    private static final String OPEN_END_DESCRIPTION = "accepts an end that no head covers";

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is required");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private static SealingKeys readKeys(Path file) throws IOException {
        try {
            return SealingKeys.parse(Files.readString(file));
        } catch (IllegalArgumentException e) {
            throw new ConfigException(file.toString(), List.of(e.getMessage()));
        }
    }

    /** Returns all lines of a ledger: the base, if any, the entries and the heads. */
    private static List<String> readLines(Path file) throws IOException {
        if (!Files.isRegularFile(file)) throw new ConfigException(file.toString(), List.of("is not a file"));
        List<String> lines = new ArrayList<>();
        try (var store = new MvStoreLedger(file)) {
            if (store.base() != null) lines.add(store.base());
            store.scan(lines::add);
            lines.addAll(store.heads());
        }
        return lines;
    }

    private static boolean isEntry(String line) {
        return !Head.isHeadLine(line) && !CompactionBase.isBaseLine(line);
    }

    /** Returns the entries of a ledger, without its base and its heads. */
    private static List<String> readEntries(Path file) throws IOException {
        return readLines(file).stream().filter(LedgerCommand::isEntry).toList();
    }

    private static Entry decodeEntry(String line) {
        return Entry.decode(SealedEntry.parse(line).text());
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Prints entries, one per line.")
    int show(
            @Parameters(paramLabel = "LEDGER") Path file,
            @Option(names = "--json") boolean json,
            @Option(names = "--attempt", paramLabel = "ID", description = "only entries on one attempt") String attempt)
            throws IOException {
        if (!json) out().println("place kind period amount tenant class attempt corrects note");
        for (String line : readEntries(file)) {
            Entry entry = decodeEntry(line);
            if (attempt != null && !attempt.equals(entry.attempt())) continue;
            out().println(
                            json
                                    ? SealedEntry.parse(line).text()
                                    : String.format(
                                            Locale.ROOT,
                                            "%s %s %d %d %s %s %s %s %s",
                                            entry.position(),
                                            entry.kind(),
                                            entry.period(),
                                            entry.amount(),
                                            dashIfEmpty(entry.tenant()),
                                            dashIfEmpty(entry.service()),
                                            dashIfEmpty(entry.attempt()),
                                            dashIfEmpty(entry.corrects()),
                                            entry.note()));
        }
        return 0;
    }

    private static String dashIfEmpty(String s) {
        return s.isEmpty() ? "-" : s;
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Checks every seal, and the end against heads; reports what was cut off, changed, swapped or removed. Exit "
                            + "code 1 if anything was, or if no head covers an end.")
    int verify(
            @Parameters(paramLabel = "LEDGER") Path file,
            @Option(names = "--keys", required = true) Path keys,
            @Option(
                            names = "--heads",
                            paramLabel = "FILE",
                            arity = "1..*",
                            description = "heads kept elsewhere, such as those from billing, or other exports")
                    List<Path> heads,
            @Option(names = OPEN_END_OPTION, description = OPEN_END_DESCRIPTION) boolean allowOpenEnd)
            throws IOException {
        Map<String, List<String>> linesByFile = new LinkedHashMap<>();
        linesByFile.put(file.toString(), readLines(file));
        if (linesByFile.get(file.toString()).isEmpty())
            throw new ConfigException(file.toString(), List.of("holds no ledger entry"));
        for (Path headFile : heads == null ? List.<Path>of() : heads) {
            linesByFile.put(
                    headFile.toString(),
                    readExport(headFile).stream().filter(Head::isHeadLine).toList());
        }
        return reportFindings(Reconciliation.reconcile(readKeys(keys), linesByFile), false, allowOpenEnd);
    }

    @Command(
            name = "export",
            mixinStandardHelpOptions = true,
            description = "Writes all sealed lines to a file, and a signed head " + "for the end of each generation.")
    int export(
            @Parameters(paramLabel = "LEDGER") Path file,
            @Parameters(paramLabel = "FILE") Path target,
            @Option(names = "--keys", required = true) Path keys)
            throws IOException {
        SealingKeys signingKeys = readKeys(keys);
        List<String> lines = readLines(file);
        List<String> exported = new ArrayList<>(lines);
        Map<String, Head> heads = new LinkedHashMap<>();
        for (String line : lines) {
            if (CompactionBase.isBaseLine(line)) {
                CompactionBase base = CompactionBase.parse(line);
                base.ends().keySet().forEach(g -> heads.put(base.head(g).chainId(), base.head(g)));
            }
            if (!isEntry(line)) continue;
            Entry entry = decodeEntry(line);
            heads.compute(
                    entry.gateway() + "/" + entry.generation(),
                    (c, before) -> Head.after(before, SealedEntry.parse(line)));
        }
        heads.values().forEach(h -> exported.add(h.sign(signingKeys)));
        Files.write(target, exported);
        out().println(lines.stream().filter(LedgerCommand::isEntry).count() + " entries written to " + target);
        return 0;
    }

    @Command(
            name = "periods",
            mixinStandardHelpOptions = true,
            description = "Prints paid starts by period, tenant and class.")
    int periods(@Parameters(paramLabel = "LEDGER") Path file, @Option(names = "--json") boolean json)
            throws IOException {
        Map<Long, PaidStartTotals> byPeriod = new java.util.TreeMap<>();
        Map<Long, String> closedBy = new LinkedHashMap<>();
        for (String line : readLines(file)) {
            if (CompactionBase.isBaseLine(line)) {
                CompactionBase base = CompactionBase.parse(line);
                base.starts().forEach((p, by) -> {
                    byPeriod.computeIfAbsent(p, x -> new PaidStartTotals())
                            .add(new CompactionBase(base.gateway(), Map.of(), Map.of(p, by), 0, 0, List.of()));
                    closedBy.put(p, "let go");
                });
            }
            if (!isEntry(line)) continue;
            Entry entry = decodeEntry(line);
            if (entry.kind() == Entry.Kind.CLOSE) closedBy.put(entry.period(), entry.position());
            else
                byPeriod.computeIfAbsent(entry.period(), p -> new PaidStartTotals())
                        .add(entry);
        }
        ArrayNode periods = new ObjectMapper().createArrayNode();
        byPeriod.forEach((p, t) -> {
            if (json)
                periods.addObject()
                        .put("period", p)
                        .put("closedAt", closedBy.get(p))
                        .putPOJO("starts", t.byTenantAndClass());
            else
                out().println(p + " " + (closedBy.containsKey(p) ? "closed " + closedBy.get(p) : "open") + " "
                        + t.byTenantAndClass());
        });
        if (json) out().println(periods);
        return 0;
    }

    @Command(
            name = "correct",
            mixinStandardHelpOptions = true,
            description = "Adds a correction to an entry. The "
                    + "gateway must not be running: its ledger is locked while it is.")
    int correct(
            @Parameters(paramLabel = "LEDGER") Path file,
            @Option(names = "--keys", required = true) Path keys,
            @Option(names = "--entry", required = true, paramLabel = "GENERATION:SEQ") String place,
            @Option(names = "--amount", required = true, description = "1 or -1") int amount,
            @Option(names = "--reason", required = true) String reason)
            throws IOException {
        SealingKeys signingKeys = readKeys(keys);
        if (Math.abs(amount) != 1)
            throw new ConfigException("--amount", List.of("is " + amount + "; expected 1 or -1"));
        List<String> lines = readEntries(file);
        Entry corrected = lines.stream()
                .map(LedgerCommand::decodeEntry)
                .filter(e -> e.position().equals(place))
                .findFirst()
                .orElseThrow(() -> new ConfigException(file.toString(), List.of("has no entry " + place)));
        if (corrected.attempt().isEmpty())
            throw new ConfigException(file.toString(), List.of(place + " is not about an attempt"));
        Entry lastEntry = decodeEntry(lines.get(lines.size() - 1));
        long lastClosedPeriod = lines.stream()
                .map(LedgerCommand::decodeEntry)
                .filter(e -> e.kind() == Entry.Kind.CLOSE)
                .mapToLong(Entry::period)
                .max()
                .orElse(corrected.period() - 1);
        String generation = "hand" + Long.toString(System.currentTimeMillis(), 36);
        long now = System.currentTimeMillis();
        var start = new Entry(
                corrected.gateway(),
                generation,
                0,
                Entry.Kind.START,
                "",
                "",
                "",
                "",
                0,
                0,
                "",
                corrected.period(),
                now,
                0,
                lastEntry.position() + ":"
                        + SealedEntry.parse(lines.get(lines.size() - 1)).mac());
        SealedEntry sealedStart = SealedEntry.seal(signingKeys, SealedEntry.NO_PREDECESSOR, start);
        var correction = new Entry(
                corrected.gateway(),
                generation,
                1,
                Entry.Kind.CORRECTION,
                corrected.attempt(),
                place,
                corrected.tenant(),
                corrected.service(),
                corrected.title(),
                corrected.viewer(),
                corrected.host(),
                Math.max(corrected.period(), lastClosedPeriod + 1),
                corrected.eventAt(),
                amount,
                "by hand: " + reason);
        try (var store = new MvStoreLedger(file)) {
            SealedEntry sealedCorrection = SealedEntry.seal(signingKeys, sealedStart.mac(), correction);
            store.append(List.of(sealedStart.line(), sealedCorrection.line()));
            store.storeHead(
                    generation,
                    Head.after(Head.after(null, sealedStart), sealedCorrection).sign(signingKeys));
        }
        out().println("added " + correction.position());
        return 0;
    }

    @Command(
            name = "compact",
            mixinStandardHelpOptions = true,
            description =
                    "Removes old entries; their totals, seals and unsettled "
                            + "intents are kept as a signed base. The gateway must not be running; a running one does this by ledger.keepPeriods.")
    int compact(
            @Parameters(paramLabel = "LEDGER") Path file,
            @Option(names = "--keys", required = true) Path keys,
            @Option(
                            names = "--keep",
                            required = true,
                            paramLabel = "N",
                            description = "number of closed periods kept whole")
                    int keep,
            @Option(
                            names = "--period",
                            paramLabel = "SECONDS",
                            description = "same as the gateway's ledger.periodS (3600)",
                            defaultValue = "3600")
                    double periodS,
            @Option(
                            names = "--ask-for",
                            paramLabel = "SECONDS",
                            description = "same as the gateway's ledger.askForMs (600)",
                            defaultValue = "600")
                    double askForS,
            @Option(
                            names = "--longest",
                            paramLabel = "SECONDS",
                            description = "the longest deadline of its classes (60)",
                            defaultValue = "60")
                    double longestS,
            @Option(
                            names = "--heads",
                            paramLabel = "FILE",
                            description = "heads from billing: only entries that they cover are removed")
                    Path heads,
            @Option(names = "--unsent", description = "there is no billing that could lack the removed entries")
                    boolean unsent)
            throws IOException {
        if (keep < 0 || periodS <= 0 || askForS < 0 || longestS < 0)
            throw new ConfigException("--keep, --period, --ask-for, --longest", List.of("expected 0 or more"));
        if (unsent == (heads != null))
            throw new ConfigException("--heads", List.of("is required unless --unsent is given"));
        SealingKeys signingKeys = readKeys(keys);
        List<String> storedLines = readLines(file);
        if (storedLines.isEmpty()) throw new ConfigException(file.toString(), List.of("holds no ledger entry"));
        List<SealedEntry.Fault> faults = SealedEntry.verify(signingKeys, storedLines);
        if (!faults.isEmpty()) {
            throw new ConfigException(
                    file.toString(),
                    List.of("is not intact, nothing was removed: "
                            + faults.get(0).place() + " " + faults.get(0).what()));
        }
        Map<String, Long> acknowledged = unsent ? null : acknowledgedCounts(signingKeys, heads);
        try (var store = new MvStoreLedger(file)) {
            List<String> lines = store.oldest(Integer.MAX_VALUE);
            CompactionBase base =
                    store.base() == null ? CompactionBase.NONE : CompactionBase.verify(signingKeys, store.base());
            long lastClosedPeriod = base.extend(lines).closed();
            double newestEventAt =
                    lines.stream().mapToDouble(l -> decodeEntry(l).eventAt()).reduce(base.newest(), Math::max);
            int removedCount = Compaction.removableLines(
                    new Compaction.Retention(periodS * 1000, keep, askForS * 1000, longestS * 1000),
                    lines,
                    false,
                    lastClosedPeriod,
                    newestEventAt,
                    acknowledged);
            if (removedCount > 0)
                store.compact(base.extend(lines.subList(0, removedCount)).sign(signingKeys), removedCount);
            out().println(removedCount + " entries removed, " + store.size() + " kept");
        }
        return 0;
    }

    /** Returns, by generation, how many entries billing holds, as proved by its heads. */
    private static Map<String, Long> acknowledgedCounts(SealingKeys keys, Path file) throws IOException {
        Map<String, Long> counts = new LinkedHashMap<>();
        for (String line : readExport(file)) {
            if (!Head.isHeadLine(line)) continue;
            try {
                Head head = Head.verify(keys, line);
                counts.merge(head.generation(), head.seq() + 1, Math::max);
            } catch (IllegalArgumentException e) {
                throw new ConfigException(file.toString(), List.of(e.getMessage()));
            }
        }
        return counts;
    }

    @Command(
            name = "reconcile",
            mixinStandardHelpOptions = true,
            description =
                    "Compares exported ledgers with each other; "
                            + "reports gaps, forks, duplicates, stale copies and ends that no head covers. Exit code 1 if there are any.")
    int reconcile(
            @Parameters(paramLabel = "FILES", arity = "1..*") List<Path> files,
            @Option(names = "--keys", required = true) Path keys,
            @Option(names = "--json") boolean json,
            @Option(names = OPEN_END_OPTION, description = OPEN_END_DESCRIPTION) boolean allowOpenEnd)
            throws IOException {
        Map<String, List<String>> linesByFile = new LinkedHashMap<>();
        for (Path file : files) linesByFile.put(file.toString(), readExport(file));
        return reportFindings(Reconciliation.reconcile(readKeys(keys), linesByFile), json, allowOpenEnd);
    }

    /**
     * Returns the lines of an exported ledger or of a file of heads. A file that holds neither is a usage error rather
     * than a ledger without findings.
     */
    private static List<String> readExport(Path file) throws IOException {
        if (!Files.isRegularFile(file)) throw new ConfigException(file.toString(), List.of("is not a file"));
        List<String> lines = Files.readAllLines(file, java.nio.charset.StandardCharsets.ISO_8859_1);
        boolean hasLedgerLine = lines.stream()
                .anyMatch(l ->
                        Head.isHeadLine(l) || CompactionBase.isBaseLine(l) || l.matches("\\S+ [0-9a-f]{64} \\{.*"));
        if (!hasLedgerLine) throw new ConfigException(file.toString(), List.of("holds no ledger entry and no head"));
        return Files.readAllLines(file);
    }

    private int reportFindings(Reconciliation.Result unfiltered, boolean json, boolean allowOpenEnd) {
        var result = new Reconciliation.Result(
                unfiltered.findings().stream()
                        .filter(finding -> !allowOpenEnd || !finding.kind().equals("open"))
                        .toList(),
                unfiltered.totals(),
                unfiltered.entries());
        if (json) {
            ObjectNode root = new ObjectMapper().createObjectNode().put("entries", result.entries());
            root.putPOJO("starts", result.totals().byTenantAndClass());
            ArrayNode findingsNode = root.putArray("findings");
            for (var finding : result.findings())
                findingsNode
                        .addObject()
                        .put("kind", finding.kind())
                        .put("place", finding.place())
                        .put("what", finding.what());
            out().println(root.toPrettyString());
        } else {
            for (var finding : result.findings())
                out().println(finding.kind() + " " + finding.place() + ": " + finding.what());
            out().println(result.entries() + " entries, paid starts "
                    + result.totals().byTenantAndClass() + ", "
                    + result.findings().size() + " findings");
        }
        return result.findings().isEmpty() ? 0 : 1;
    }
}
