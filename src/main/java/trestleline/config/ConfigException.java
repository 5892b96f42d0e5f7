package trestleline.config;

import java.util.List;

/** Thrown for settings that cannot be used. Lists every error found, each with its path and the expected value. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient List<String> errors;

    /**
     * Creates an exception.
     *
     * @param file name of the file, or of the option in error
     * @param errors one line per error
     */
    public ConfigException(String file, List<String> errors) {
        super(file + ": " + errors.size() + (errors.size() == 1 ? " error" : " errors"));
        this.errors = List.copyOf(errors);
    }

    /** Returns the errors, one line each. */
    public List<String> errors() {
        return errors;
    }
}
