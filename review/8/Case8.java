import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CopyOnWriteArrayList;

/** Some good answers of a media host come with a length that does not fit: half of what they bring. */
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
        var host = new Kit.Host("s-0", 0, 2000);
        // A description of about 3 KB: its last line holds a stream's parameter sets.
        host.furtherLines =
                "a=fmtp:101 sprop-parameter-sets=" + "Z0LAHtkDxWhAAAADAEAAAAwDxYuS".repeat(110) + "\r\n";
        var spoilt = new CopyOnWriteArrayList<String>();
        new Kit.Network(host, (link, message, raw) -> {
            boolean answer = message.status() == 200 && "1".equals(message.headers().get("cseq"));
            if (!Kit.TROUBLE || !answer || host.setUps.indexOf(message.session()) % SPOILT_OF != 0) return raw;
            spoilt.add(message.session());
            int length = message.body().length;
            Kit.log("the answer to " + message.session() + " says " + length / 2 + " bytes and brings " + length);
            return new String(raw, StandardCharsets.ISO_8859_1)
                    .replace("Content-Length: " + length, "Content-Length: " + length / 2)
                    .getBytes(StandardCharsets.ISO_8859_1);
        });
        feed.tell(true, host.entry("up"));
        var gateway = new Kit.Gateway("n0", feed, 256, 128, Kit.settings(1));
        var viewers = new Kit.Viewers("viewers", gateway);
        boolean held = true;
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Kit.Request request = viewers.setUp("free", "acme", TITLE, 0, 1, 0, 3000);
            Kit.require(Kit.await(3200, () -> request.answer != null), "a request has no answer");
            if ("served".equals(request.answer)) {
                served++;
                String given = host.descriptions.get(Kit.hex(request.id));
                String heard = new String(request.description, StandardCharsets.ISO_8859_1);
                if (!heard.equals(given)) {
                    Kit.log(Kit.hex(request.id) + " is served with " + heard.length()
                            + " bytes, the description that its media host gave has " + given.length());
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
