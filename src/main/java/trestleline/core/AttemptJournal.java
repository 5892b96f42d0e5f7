package trestleline.core;

/**
 * Write-ahead record of paid set-ups. All methods are called on the gateway's event loop. A paid set-up whose intent
 * could not be stored is not sent: {@link #checkIntent} returns {@code DROP}, and the module is told that it never ran.
 */
public interface AttemptJournal {
    /** Records nothing and lets every set-up be sent. */
    AttemptJournal NONE = new AttemptJournal() {
        @Override
        public void recordIntent(Attempt attempt) {}

        @Override
        public MediaHosts.WriteDecision checkIntent(Attempt attempt) {
            return MediaHosts.WriteDecision.WRITE;
        }

        @Override
        public void recordWritten(Attempt attempt) {}

        @Override
        public void recordOutcome(Attempt attempt, Outcome outcome) {}
    };

    /** Records the intent to send a paid set-up. */
    void recordIntent(Attempt attempt);

    /**
     * Returns whether a set-up may be sent: {@code WRITE} once its intent is stored durably, {@code WAIT} while that is
     * pending, {@code DROP} if it cannot be stored.
     */
    MediaHosts.WriteDecision checkIntent(Attempt attempt);

    /** Records that the first byte of a set-up is about to be sent. */
    void recordWritten(Attempt attempt);

    /** Records the outcome of a set-up; {@link Outcome#OK} means that the session plays. */
    void recordOutcome(Attempt attempt, Outcome outcome);
}
