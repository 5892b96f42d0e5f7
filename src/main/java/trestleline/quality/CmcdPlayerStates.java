package trestleline.quality;

/** Maps the player states of CMCD version 2 (key {@code sta}) to those that affect service quality. */
public final class CmcdPlayerStates {
    private CmcdPlayerStates() {}

    /** Returns the state for a value of {@code sta}, or null for null and for values without a meaning here. */
    public static PlaybackRequest.PlayerState of(String sta) {
        return sta == null
                ? null
                : switch (sta) {
                    case "s", "d" -> PlaybackRequest.PlayerState.STARTING;
                    case "p" -> PlaybackRequest.PlayerState.PLAYING;
                    // a fatal error does not count as leaving: the viewer wanted to go on
                    case "r", "w", "f" -> PlaybackRequest.PlayerState.STALLED;
                    // caused by the viewer, as is a seek: nothing is due meanwhile
                    case "a", "k" -> PlaybackRequest.PlayerState.PAUSED;
                    case "e", "q" -> PlaybackRequest.PlayerState.ENDED;
                    default -> null;
                };
    }
}
