package trestleline.core;

/** Where the list of hosts comes from; what it learns goes to {@link Gateway#update}. */
public interface Directory {
    /** Asks for changes from now on, or no longer. */
    void listen(boolean want);

    /** Asks for the whole list once. */
    void refresh();
}
