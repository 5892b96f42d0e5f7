package trestleline.quality;

/** A host and the rack it stands in, as the list tells. */
public record Place(String host, String rack) implements Comparable<Place> {
    @Override
    public int compareTo(Place o) {
        int c = rack.compareTo(o.rack);
        return c != 0 ? c : host.compareTo(o.host);
    }
}
