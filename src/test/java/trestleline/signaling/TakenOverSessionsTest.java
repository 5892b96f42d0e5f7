package trestleline.signaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TakenOverSessionsTest {
    /** Guards against a client that hands over so many sessions that those of other connections are turned away. */
    @Test
    void connectionWithTheMostGivesUpItsLatest() {
        var sessions = new TakenOverSessions<String, String>(100);
        for (int i = 0; i < 100; i++) assertNull(sessions.add("h", "flood", "f" + i));
        assertEquals("f100", sessions.add("h", "flood", "f100"), "beyond the limit its own is turned away");
        for (int i = 0; i < 50; i++) assertEquals("f" + (99 - i), sessions.add("h", "usual", "u" + i));
        assertEquals("u50", sessions.add("h", "usual", "u50"), "both have as many");
        assertNull(sessions.add("other", "flood", "f101"));
        assertEquals(101, sessions.total());
        sessions.remove("h", "usual", "u3");
        assertNull(sessions.add("h", "usual", "u3"));
        sessions.remove("h", "usual", "unknown");
        assertEquals(101, sessions.total());
    }

    @Test
    void totalOverAllHostsIsBounded() {
        var sessions = new TakenOverSessions<Integer, Integer>(100);
        for (int i = 0; i < 3 * TakenOverSessions.MAX_TOTAL; i++) sessions.add("h" + i % 97, i % 31, i);
        assertTrue(sessions.total() <= TakenOverSessions.MAX_TOTAL);
        assertNotEquals(0, sessions.total());
    }
}
