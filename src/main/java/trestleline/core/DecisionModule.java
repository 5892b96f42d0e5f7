package trestleline.core;

import java.util.List;
import trestleline.placement.Placement;

/** The decision module as the core calls it. The implementation is {@link trestleline.placement.PlacementPolicy}. */
@FunctionalInterface
public interface DecisionModule {
    /**
     * Handles one event.
     *
     * @param nowMs time of the event, in milliseconds of the gateway's clock
     * @param event the event
     * @return the actions to execute, in order
     */
    List<Placement.Action> handle(double nowMs, Placement.Event event);
}
