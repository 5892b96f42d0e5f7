package trestleline.core;

/** The source of the host list. It delivers lists and changes to {@link Gateway#updateHostList}. */
public interface HostListSource {
    /** Subscribes to changes of the list, or unsubscribes if {@code subscribe} is false. */
    void subscribe(boolean subscribe);

    /** Requests the whole list once. */
    void refresh();
}
