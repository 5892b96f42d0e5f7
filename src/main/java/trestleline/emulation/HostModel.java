package trestleline.emulation;

import java.util.List;
import trestleline.placement.Placement;

/**
 * Parameters of the emulated hosts: the settings that gateways are given as well, and values that these do not contain.
 *
 * @param settings settings of the gateways
 * @param segmentS duration of a media segment, seconds
 * @param workFrom shortest time that a set-up takes on a warm host, ms
 * @param workTo longest time that a set-up takes on a warm host, ms
 * @param vary relative deviation of titles' true rates from those of the ladder, e.g. 0.15
 * @param ahead how many times faster than its rate a session is sent where links have room, so that players fill their
 *     buffers
 */
public record HostModel(
        Placement.Settings settings, double segmentS, double workFrom, double workTo, double vary, double ahead) {
    List<Placement.RequestClass> classes() {
        return settings.classes();
    }

    /** Returns the class of a name, or null if there is none. */
    Placement.RequestClass requestClass(String service) {
        for (Placement.RequestClass candidate : classes()) if (candidate.name().equals(service)) return candidate;
        return null;
    }

    /** Returns the true rate of a title at a rung, kB a second. */
    double rate(Placement.RequestClass requestClass, long title, int rung) {
        double deviation = ((title % 1000) / 999.0 * 2 - 1) * vary;
        return settings.ladder().ratesKb()[rung] * requestClass.rateFactor() * (1 + deviation);
    }
}
