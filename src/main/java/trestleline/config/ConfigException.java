package trestleline.config;

import java.util.List;

/** Settings that can't be used: every error found, each with its path and what was expected. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient List<String> errors;

    public ConfigException(String file, List<String> errors) {
        super(file + ": " + errors.size() + (errors.size() == 1 ? " error" : " errors"));
        this.errors = List.copyOf(errors);
    }

    /** One line an error. */
    public List<String> errors() {
        return errors;
    }
}
