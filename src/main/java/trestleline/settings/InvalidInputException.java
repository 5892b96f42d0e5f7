package trestleline.settings;

/** Thrown for invalid JSON input; the message names the field and where it stands. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the operator. */
    public InvalidInputException(String message) {
        super(message);
    }
}
