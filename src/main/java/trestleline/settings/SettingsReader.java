package trestleline.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import trestleline.placement.Placement;

/** Converts the JSON settings of a gateway; the bench protocol and the platform use the same format. */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Reads all settings.
     *
     * @throws InvalidInputException if a field is missing or invalid; the message names its location
     */
    public static Placement.Settings read(JsonObjectReader root) {
        JsonObjectReader specifics = root.getObject("specifics");
        JsonObjectReader ruleFields = root.getObject("rules");
        JsonObjectReader limitFields = root.getObject("policyLimits");
        JsonObjectReader penaltyFields = root.getObject("prices");
        JsonObjectReader reportFields = root.getObject("report");
        var ladder = new Placement.Ladder(
                specifics.getDoubles("ladderKb"),
                specifics.getDoubles("levelWorth"),
                specifics.getDouble("switchS"),
                specifics.getDouble("shortfallCost"),
                specifics.getDouble("joinAdds"));
        var fleet = new Placement.Fleet(
                specifics.getInt("places"),
                specifics.getInt("groups"),
                specifics.getDouble("linksKb"),
                specifics.getDouble("rackLinkKb"),
                specifics.getDouble("linkUnitKb"),
                root.getStrings("kinds"),
                specifics.getInts("kindSlots"),
                specifics.getDouble("guard"),
                root.getString("weightKind"));
        var rules = new Placement.Rules(
                ruleFields.getDouble("graceToAnswer"),
                ruleFields.getDouble("askEvery", 0),
                ruleFields.getDouble("freeResends", 0),
                ruleFields.getDouble("extraShare", 0),
                ruleFields.getDouble("extraWindow", 0),
                ruleFields.getDouble("coldShare"),
                ruleFields.getDouble("cold"),
                ruleFields.getDouble("drainGrace"),
                ruleFields.getDouble("overloadFactor"),
                ruleFields.getDouble("fall"),
                limitFields.getInt("sendCap"),
                limitFields.getBoolean("cancel"),
                limitFields.getBoolean("probes"),
                limitFields.getBoolean("retryAfter"),
                limitFields.getDouble("maxRetryAfter"),
                limitFields.getDouble("connectTimeout"));
        var penalties = new Placement.Penalties(
                penaltyFields.getDouble("crossZone"),
                penaltyFields.getDouble("probe"),
                penaltyFields.getDouble("moves"),
                penaltyFields.getDouble("lateFail"),
                penaltyFields.getDouble("discovery"));
        return new Placement.Settings(
                root.getInt("me"),
                root.getInt("replicasOfMe"),
                root.getString("locality"),
                root.getDouble("resolution"),
                root.getString("discovery").equals("on_request"),
                specifics.getDouble("see"),
                specifics.getDouble("toldEvery"),
                reportFields.getStrings("fields"),
                reportFields.getString("via"),
                readClasses(root, specifics),
                root.getObjects(
                        "accounts",
                        tenant -> new Placement.Tenant(
                                tenant.getString("name"), tenant.getDouble("quotaPerS"), tenant.getDouble("fraction"))),
                root.getDouble("overShareWorth"),
                ladder,
                fleet,
                rules,
                penalties);
    }

    /** Reads the classes; their technical limits stand in arrays of 'specifics', in the same order. */
    private static List<Placement.RequestClass> readClasses(JsonObjectReader root, JsonObjectReader specifics) {
        int[] minRungs = specifics.getInts("classFloor");
        int[] maxRungs = specifics.getInts("classTop");
        int[] maxSessionsPerTitle = specifics.getInts("classSeats");
        double[] rateFactors = specifics.getDoubles("rateFactor");
        boolean[] liveFlags = specifics.getBooleans("isLive");
        List<Placement.RequestClass> classes = new ArrayList<>();
        root.getObjects("classes", fields -> {
            int index = classes.size();
            if (Math.min(
                            Math.min(minRungs.length, maxRungs.length),
                            Math.min(maxSessionsPerTitle.length, Math.min(rateFactors.length, liveFlags.length)))
                    <= index) {
                throw new InvalidInputException("an array in 'specifics' has fewer elements than field 'classes'");
            }
            return classes.add(new Placement.RequestClass(
                    fields.getString("name"),
                    fields.getDouble("aim"),
                    fields.getDouble("aimStretch", 0),
                    fields.getDouble("deadline"),
                    parseEffect(fields.getString("effect")),
                    fields.getString("group", "all"),
                    fields.getDouble("dedupWindow", 0),
                    fields.getDouble("worth"),
                    minRungs[index],
                    maxRungs[index],
                    rateFactors[index],
                    maxSessionsPerTitle[index],
                    liveFlags[index]));
        });
        return classes;
    }

    private static Placement.Effect parseEffect(String name) {
        try {
            return Placement.Effect.valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("field 'effect' has an unknown value: " + name);
        }
    }
}
