package trestleline.rtsp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests what is concluded from a host's connections, without sockets or a clock. */
class HostLivenessTest {
    @Test
    void silentOrDisconnectedHostNeedsLivenessCheck() {
        var liveness = new HostLiveness(1000);
        assertFalse(liveness.needsCheck(1000 + HostLiveness.MAX_SILENCE_MS, true));
        assertTrue(liveness.needsCheck(1001 + HostLiveness.MAX_SILENCE_MS, true));
        assertTrue(liveness.needsCheck(1000, false));
        liveness.heard(5000);
        assertFalse(liveness.needsCheck(5000 + HostLiveness.MAX_SILENCE_MS, true));
    }

    @Test
    void refusedConnectMeansLostAndRepeatedFailureMeansSilent() {
        var liveness = new HostLiveness(0);
        assertEquals(HostLiveness.Verdict.UNKNOWN, liveness.connectFailed(false));
        assertEquals(HostLiveness.Verdict.UNKNOWN, liveness.connectFailed(false));
        liveness.heard(10); // a successful connect resets the count
        for (int i = 1; i < HostLiveness.MAX_FAILED_CONNECTS; i++)
            assertEquals(HostLiveness.Verdict.UNKNOWN, liveness.connectFailed(false));
        assertEquals(HostLiveness.Verdict.SILENT, liveness.connectFailed(false));
        assertEquals(HostLiveness.Verdict.LOST, new HostLiveness(0).connectFailed(true));
    }

    @Test
    void delistedHostIsNotCheckedAndGetsAGracePeriod() {
        var liveness = new HostLiveness(0);
        assertTrue(liveness.isListed());
        assertFalse(liveness.delistedGraceOver(1e9));
        liveness.markDelisted(100);
        liveness.markDelisted(500); // the first call counts
        assertFalse(liveness.isListed() || liveness.needsCheck(1e6, false));
        assertFalse(liveness.delistedGraceOver(100 + HostLiveness.DELISTED_GRACE_MS));
        assertTrue(liveness.delistedGraceOver(101 + HostLiveness.DELISTED_GRACE_MS));
    }

    /** Guards against a new process at the address of one that died that is taken for it. */
    @Test
    void identityIsOpenAfterTheLossOfAllConnectionsUntilItIsProvedOrTheListHasSpoken() {
        var liveness = new HostLiveness(0);
        assertTrue(liveness.isIdentityKnown(0));
        liveness.allConnectionsLost(1000);
        liveness.heard(1001); // a process accepts connections, whichever it is
        assertFalse(liveness.isIdentityKnown(1000 + HostLiveness.IDENTITY_DOUBT_MS - 1));
        assertTrue(liveness.isIdentityKnown(1000 + HostLiveness.IDENTITY_DOUBT_MS));
        liveness.allConnectionsLost(20_000);
        liveness.identityProved();
        assertTrue(liveness.isIdentityKnown(20_001));
    }
}
