import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Some good answers of media hosts come with a length that does not fit: half of what they bring. */
public final class Case8 {
    private static final String TITLE = "00000000000000a0";
    private static final int REQUESTS = 20;
    /** Of so many answers one is spoilt, the first one among them. */
    private static final int SPOILT_OF = 5;

    private Case8() {}

    public static void main(String[] args) throws Exception {
        Kit.main(Path.of(args[0]), Case8::run);
    }

    private static boolean run() throws Exception {
        var feed = new Kit.Feed();
        var spoilt = new CopyOnWriteArrayList<String>();
        var answers = new AtomicInteger();
        Kit.Spoiler spoiler = (link, message, raw) -> {
            boolean answer = message.status() == 200 && "1".equals(message.headers().get("cseq"));
            if (!Kit.TROUBLE || !answer || answers.getAndIncrement() % SPOILT_OF != 0) return raw;
            spoilt.add(message.session());
            int length = message.body().length;
            Kit.log("the answer to " + message.session() + " says " + length / 2 + " bytes and brings " + length);
            return new String(raw, StandardCharsets.ISO_8859_1)
                    .replace("Content-Length: " + length, "Content-Length: " + length / 2)
                    .getBytes(StandardCharsets.ISO_8859_1);
        };
        List<Kit.Host> hosts = new ArrayList<>();
        for (int slot = 0; slot < 3; slot++) {
            var host = new Kit.Host("s-" + slot, slot, 2000);
            // A description of about 3 KB: its last line holds a stream's parameter sets.
            host.furtherLines =
                    "a=fmtp:101 sprop-parameter-sets=" + "Z0LAHtkDxWhAAAADAEAAAAwDxYuS".repeat(110) + "\r\n";
            new Kit.Network(host, spoiler);
            hosts.add(host);
        }
        feed.tell(true, hosts.get(0).entry("up"), hosts.get(1).entry("up"), hosts.get(2).entry("up"));
        var gateway = new Kit.Gateway("n0", feed, 256, 128, Kit.settings(3));
        var viewers = new Kit.Viewers("viewers", gateway);
        boolean held = true;
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Kit.Request request = viewers.setUp("free", "acme", TITLE, 0, 3, 0, 3000);
            Kit.require(Kit.await(3200, () -> request.answer != null), "a request has no answer");
            if ("served".equals(request.answer)) {
                served++;
                String heard = new String(request.description, StandardCharsets.ISO_8859_1);
                List<String> given = hosts.stream()
                        .map(host -> host.descriptions.get(Kit.hex(request.id)))
                        .filter(Objects::nonNull)
                        .toList();
                if (!given.contains(heard)) {
                    Kit.log(Kit.hex(request.id) + " is served with " + heard.length()
                            + " bytes, the descriptions that media hosts gave for it have "
                            + given.stream().map(String::length).toList());
                    held = false;
                }
            }
            Kit.sleep(800);
        }
        Kit.require(gateway.alive(), "the gateway ended");
        Kit.require(served > 0, "nobody was served");
        Kit.require(!Kit.TROUBLE || !spoilt.isEmpty(), "no answer was spoilt");
        return held;
    }
}
