package trestleline.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import trestleline.ledger.Entry;
import trestleline.ledger.Keys;
import trestleline.ledger.Sealed;
import trestleline.ledger.store.MvStoreLedger;

class CommandLineTest {
    private static final String KEYS = "k " + "4d".repeat(32);

    @TempDir
    private Path dir;
    private String out;

    private int run(Object... args) {
        var text = new StringWriter();
        var writer = new PrintWriter(text);
        String[] words = new String[args.length];
        for (int i = 0; i < words.length; i++) words[i] = args[i].toString();
        int code = Main.execute(Main.line().setOut(writer).setErr(writer), words);
        out = text.toString();
        return code;
    }

    @Test
    void wrongUseEndsWithTwoAndSaysWhere() throws Exception {
        assertEquals(2, run());
        assertEquals(2, run("serve"));
        assertEquals(2, run("no-such"));
        assertEquals(2, run("no-such", "--help"));
        assertTrue(out.contains("no sub-command 'no-such'"), out);
        assertEquals(2, run("check", dir.resolve("none.json5")));
        assertTrue(out.contains("cannot be read"), out);
        Path bad = Files.writeString(dir.resolve("bad.json5"), "{ name: 'x', gateways: 0, sconds: 5 }");
        assertEquals(2, run("check", bad));
        assertTrue(out.contains("gateways: is 0; expected a whole number from 1") && out.contains("sconds: is not a known field")
            && out.contains("gateway.zone: is missing"), out);
        assertEquals(2, run("rehearse", bad));
        assertEquals(2, run("measure", "--only", "nothing"));
        assertEquals(0, run("--help"));
        for (String c : List.of("serve", "standin", "rehearse", "check", "measure", "ledger", "drill")) {
            assertEquals(0, run(c, "--help"), c);
        }
    }

    @Test
    void theExamplesAreGood() {
        assertEquals(0, run("check", "examples/bad-day.json5"), out);
        assertEquals(0, run("check", "examples/ledger-day.json5"), out);
        assertEquals(0, run("check", "examples/harsh-day.json5"), out);
    }

    private Path ledger(String name, int starts) throws Exception {
        Path file = dir.resolve(name);
        String head = Sealed.NONE;
        List<String> lines = new ArrayList<>();
        for (int i = 0; i <= starts; i++) {
            Sealed s = Sealed.seal(Keys.read(KEYS), head, new Entry("0", "g", i, i == 0 ? Entry.Kind.START : Entry.Kind.RAN,
                i == 0 ? "" : "a" + i, "", i == 0 ? "" : "t" + i % 2, "paid", 1, 2, "h", i / 4, i, i == 0 ? 0 : 1, ""));
            head = s.mac();
            lines.add(s.line());
        }
        try (var store = new MvStoreLedger(file)) {
            store.append(lines);
        }
        return file;
    }

    @Test
    void aLedgerIsShownVerifiedCorrectedAndReconciled() throws Exception {
        Path file = ledger("ledger", 6), keys = Files.writeString(dir.resolve("keys"), KEYS);
        assertEquals(1, run("ledger", "verify", file, "--keys", keys), () -> out);
        assertTrue(out.contains("end not anchored"), out);
        assertEquals(0, run("ledger", "verify", file, "--keys", keys, "--open-end"), () -> out);
        assertEquals(0, run("ledger", "periods", file, "--json"));
        assertTrue(out.contains("{\"t0/paid\":1,\"t1/paid\":2}"), out);
        assertEquals(0, run("ledger", "correct", file, "--keys", keys, "--entry", "g:3", "--amount", "-1", "--reason", "a test"),
            () -> out);
        assertEquals(0, run("ledger", "verify", file, "--keys", keys), () -> out);
        assertEquals(2, run("ledger", "correct", file, "--keys", keys, "--entry", "g:99", "--amount", "-1", "--reason", "x"));
        assertEquals(2, run("ledger", "correct", file, "--keys", keys, "--entry", "g:3", "--amount", "5", "--reason", "x"));
        Path export = dir.resolve("export");
        assertEquals(0, run("ledger", "export", file, export, "--keys", keys));
        assertEquals(0, run("ledger", "reconcile", export, "--keys", keys), () -> out);
        assertTrue(out.contains("{t0/paid=3, t1/paid=2}"), out);
        List<String> lines = new ArrayList<>(Files.readAllLines(export));
        lines.remove(2);
        Path cut = Files.write(dir.resolve("cut"), lines);
        assertEquals(1, run("ledger", "reconcile", cut, "--keys", keys));
        assertTrue(out.contains("gap"), out);
        lines = new ArrayList<>(Files.readAllLines(export));
        List<String> heads = lines.stream().filter(l -> l.startsWith("HEAD")).toList();
        Path short3 = Files.write(dir.resolve("short"), lines.subList(0, lines.size() - heads.size() - 3));
        assertEquals(1, run("ledger", "reconcile", short3, "--keys", keys), "its last three are gone, heads and all");
        Path billing = Files.write(dir.resolve("billing"), heads);
        assertEquals(1, run("ledger", "reconcile", short3, billing, "--keys", keys));
        assertTrue(out.contains("proves to have existed"), out);
        assertEquals(0, run("ledger", "verify", file, "--keys", keys, "--heads", billing), () -> out);
        for (String foreign : List.of("", "not a ledger\n", "{}\n")) {
            Path f = Files.writeString(dir.resolve("foreign"), foreign);
            assertEquals(2, run("ledger", "reconcile", f, "--keys", keys), "no clean ledger: " + foreign);
        }
        assertEquals(2, run("ledger", "verify", dir.resolve("none"), "--keys", keys));
        Path badKeys = Files.writeString(dir.resolve("bad-keys"), "k 00");
        assertEquals(2, run("ledger", "verify", file, "--keys", badKeys));
        assertTrue(out.contains("line 1: expected an id"), out);
    }
}
