package trestleline.core;

/**
 * Counters of one gateway since its start, and its present sizes.
 *
 * @param asked requests received
 * @param granted requests answered with a session
 * @param refused requests answered with a refusal
 * @param failed requests answered with a failure
 * @param left requests whose viewer left before the answer
 * @param attempts set-up attempts decided on
 * @param dropped attempts that the pre-write check dropped before their write
 * @param overdue requests that the module did not answer in time; also counted as failed
 * @param bugs exceptions and invalid actions of the module
 * @param stalls stalls of the event loop
 * @param waiting requests held that have no session
 * @param playing sessions that play
 * @param hosts hosts listed
 * @param listVersion version of the host list
 */
public record Counts(
        long asked,
        long granted,
        long refused,
        long failed,
        long left,
        long attempts,
        long dropped,
        long overdue,
        long bugs,
        long stalls,
        int waiting,
        int playing,
        int hosts,
        long listVersion) {}
