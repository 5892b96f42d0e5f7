package trestleline.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the parser and the encoder without sockets: any chunking of the stream, and arbitrary bytes. */
class RtspReaderTest {
    private static List<RtspMessage> read(RtspReader reader, byte[] stream, List<Integer> chunkLengths) {
        List<RtspMessage> messages = new ArrayList<>();
        int offset = 0;
        int chunk = 0;
        while (offset < stream.length) {
            int length = chunkLengths.isEmpty() ? stream.length : 1 + chunkLengths.get(chunk++ % chunkLengths.size());
            reader.add(Arrays.copyOfRange(stream, offset, Math.min(stream.length, offset + length)));
            offset += length;
            for (RtspMessage message = reader.next(); message != null; message = reader.next()) messages.add(message);
        }
        return messages;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 200)
    void parsedMessagesDoNotDependOnChunking(
            @ForAll @Size(min = 1, max = 5) List<@IntRange(max = 500) Integer> bodyLengths,
            @ForAll @Size(max = 8) List<@IntRange(max = 60) Integer> chunkLengths) {
        var stream = new ByteArrayOutputStream();
        for (int length : bodyLengths) {
            byte[] body = new byte[length];
            Arrays.fill(body, (byte) '\n'); // a byte that no line of the head may hold alone
            stream.writeBytes(RtspMessage.encode("RTSP/1.0 200 OK", body, "CSeq", "1", "Session", "00000000000000Ff"));
        }
        var reader = new RtspReader();
        List<RtspMessage> messages = read(reader, stream.toByteArray(), chunkLengths);
        assertNull(reader.failure());
        assertEquals(
                bodyLengths,
                messages.stream().map(message -> message.body().length).toList());
        for (RtspMessage message : messages) {
            assertEquals(200, message.status());
            assertEquals(1, message.cseq());
            assertEquals("00000000000000ff", message.sessionId());
        }
    }

    @Property(tries = 300)
    void arbitraryBytesYieldMessagesOrOneFailure(
            @ForAll @Size(max = 4000) byte[] noise,
            @ForAll @Size(max = 5) List<@IntRange(max = 90) Integer> chunkLengths) {
        var reader = new RtspReader();
        read(reader, noise, chunkLengths);
        String failure = reader.failure();
        reader.add(bytes("RTSP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"));
        if (failure != null) assertNull(reader.next(), "parsed a message after the failure: " + failure);
    }

    @Test
    void malformedInputFailsAtTheFirstInvalidLine() {
        String statusLine = "RTSP/1.0 200 OK\r\n";
        for (String input : List.of(
                "HTTP/1.1 200 OK\r\n",
                "RTSP/1.0 999 No\r\n",
                "RTSP/1.0 20\r\n",
                "GET / RTSP/1.0\r\n",
                "x".repeat(2000),
                "\u00ff\u00fe\u0000",
                "RTSP/1.0 200 OK\n",
                statusLine + "no header\r\n",
                statusLine + "A: " + "b".repeat(2000),
                statusLine + "CSeq: 1\r\nCSeq: 2\r\n",
                statusLine + "Content-Length: 3000000000\r\n\r\n",
                statusLine + "Content-Length: -5\r\n\r\n",
                statusLine + "Content-Length: 1x\r\n\r\n",
                statusLine + "\r\n",
                statusLine + "Content-Length: 16384\r\n\r\n",
                statusLine + "H: 1\r\n".replace("H", "H0") + "Content-Length: 0\u0001\r\n\r\n")) {
            var reader = new RtspReader();
            reader.add(bytes(input));
            assertNull(reader.next(), input);
            assertNotNull(reader.failure(), input);
        }
        var reader = new RtspReader();
        var tooManyHeaders = new StringBuilder(statusLine);
        for (int i = 0; i <= RtspReader.MAX_HEADER_LINES; i++)
            tooManyHeaders.append("H").append(i).append(": 1\r\n");
        reader.add(bytes(tooManyHeaders.toString()));
        assertNull(reader.next());
        assertEquals("too many headers", reader.failure());
    }

    /** Guards against the rest of a body that waits for its line end like the beginning of another message. */
    @Test
    void partOfALineThatCannotBeginAMessageFailsAtOnce() {
        for (String rest : List.of("x", "Z0LAHtkD", "\r", "RTSP/2", "TEARDOWN http", "A".repeat(40))) {
            var inbound = new InboundMessages();
            inbound.add(bytes("RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 2\r\n\r\nab" + rest));
            assertTrue(inbound.take().isEmpty(), rest);
            assertNotNull(inbound.failure(), rest);
            assertNull(inbound.takeLast(), rest);
        }
        for (String start :
                List.of("R", "RTSP/1.", "RTSP/1.0 4", "TEAR", "TEARDOWN rtsp:", "SET_PARAMETER rtsp://media/x")) {
            var inbound = new InboundMessages();
            inbound.add(bytes("RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 2\r\n\r\nab" + start));
            assertTrue(inbound.take().isEmpty(), start);
            assertNull(inbound.failure(), start);
            assertNull(inbound.takeLast(), "the line may be the rest of a body: " + start);
        }
    }

    /** An answer is held back until nothing or a proper message follows; other messages are not. */
    @Test
    void answersAreHeldBackUntilWhatFollowsIsKnown() {
        var inbound = new InboundMessages();
        inbound.add(bytes("RTSP/1.0 453 Full\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n"));
        assertEquals(1, inbound.take().size());
        inbound.add(bytes("RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 2\r\n\r\nab"));
        assertTrue(inbound.take().isEmpty());
        assertNotNull(inbound.last());
        inbound.add(bytes("ANNOUNCE rtsp://media/x RTSP/1.0\r\n"));
        assertEquals(
                List.of(200), inbound.take().stream().map(RtspMessage::status).toList());
        inbound.add(bytes("Content-Length: 0\r\n\r\nRTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 1\r\n\r\na"));
        assertEquals(
                List.of("ANNOUNCE"),
                inbound.take().stream().map(RtspMessage::method).toList());
        assertEquals("a", new String(inbound.takeLast().body(), StandardCharsets.ISO_8859_1));
        assertNull(inbound.takeLast());
    }

    @Test
    void encodedSetUpMatchesTheProtocolDocumentation() {
        String text = new String(
                RtspMessage.encode(
                        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0",
                        bytes("9d41\r\n"),
                        "CSeq",
                        "1",
                        "Session",
                        "9b1f03aa5c7e2d41",
                        "X-Tier",
                        "paid",
                        "X-Deadline",
                        "1500"),
                StandardCharsets.ISO_8859_1);
        assertEquals(
                "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nX-Tier: paid\r\n"
                        + "X-Deadline: 1500\r\nContent-Length: 6\r\n\r\n9d41\r\n",
                text);
    }

    @Test
    void gaugesKeepNumericEntriesOnly() {
        var message =
                new RtspMessage(null, 200, Map.of("x-gauges", "x0:0.34;x1:1.25;queue:3;:4;y;z:one;w:1e9"), new byte[0]);
        assertEquals(Map.of("x0", 0.34, "x1", 1.25, "queue", 3.0), message.gauges());
        assertTrue(new RtspMessage(null, 200, Map.of(), new byte[0]).gauges().isEmpty());
    }
}
