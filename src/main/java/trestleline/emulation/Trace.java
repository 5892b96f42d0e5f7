package trestleline.emulation;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import trestleline.conformance.TrafficEvent;

/**
 * Records the events that the emulated peers observe, from any thread. It grows without bound and is meant for
 * rehearsals and tests.
 */
public final class Trace {
    private final ConcurrentLinkedQueue<TrafficEvent> events = new ConcurrentLinkedQueue<>();

    private final boolean recording;

    /** Creates an empty trace that records events. */
    public Trace() {
        this(true);
    }

    private Trace(boolean recording) {
        this.recording = recording;
    }

    /** Returns a trace that discards all events, for emulations that run without end. */
    public static Trace none() {
        return new Trace(false);
    }

    /** Appends an event. */
    public void add(TrafficEvent event) {
        if (recording) events.add(event);
    }

    /** Returns a copy of the events recorded so far. */
    public List<TrafficEvent> events() {
        return new ArrayList<>(events);
    }
}
