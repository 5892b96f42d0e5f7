package trestleline.core;

import java.util.HashMap;
import java.util.Map;
import trestleline.Front;

/** The list of hosts as this gateway was last told, for the check next to the write. Bounded by the list itself. */
final class Roster {
    private Map<String, Front.Entry> entries = new HashMap<>();
    private long version;

    void apply(Front.Update update) {
        if (update.mode().equals("broken")) return;
        if (!update.mode().equals("patch")) entries = new HashMap<>();
        for (Front.Entry e : update.entries()) {
            if (e.status().equals("Deleted")) entries.remove(e.host());
            else entries.put(e.host(), e);
        }
        version = update.version();
    }

    boolean takesNew(String host) {
        Front.Entry e = entries.get(host);
        return e != null && e.status().equals("Running");
    }

    int size() {
        return entries.size();
    }

    long version() {
        return version;
    }
}
