package trestleline.media;

/** Container format of a title's segments at the hosts (RFC 8216, section 3). */
public enum Container {
    /** Packed audio: ADTS frames after an ID3 timestamp (section 3.4). */
    AAC("aac", "aac", "audio/aac"),
    /** MPEG-2 transport stream (section 3.2). */
    TS("ts", "ts", "video/mp2t"),
    /**
     * Fragmented MP4 (section 3.3; CMAF, ISO/IEC 23000-19), with one initialization segment for all rungs of a title.
     */
    FMP4("fmp4", "m4s", "video/mp4");

    /** File name of the initialization segment, in the containers that have one. */
    public static final String INIT_FILE = "init.mp4";

    private final String setting;
    private final String extension;
    private final String mediaType;

    Container(String setting, String extension, String mediaType) {
        this.setting = setting;
        this.extension = extension;
        this.mediaType = mediaType;
    }

    /** Returns the name of the container in the settings. */
    public String setting() {
        return setting;
    }

    /** Returns the file extension of segments, without the dot. */
    public String extension() {
        return extension;
    }

    /** Returns the media type of segments and of the initialization segment. */
    public String mediaType() {
        return mediaType;
    }

    /** Returns the container that has this name in the settings, or null. */
    public static Container fromSetting(String setting) {
        for (Container container : values()) if (container.setting.equals(setting)) return container;
        return null;
    }

    /** Returns the container whose segments have this file extension, or null. */
    public static Container byExtension(String extension) {
        for (Container container : values()) if (container.extension.equals(extension)) return container;
        return null;
    }

    /**
     * Generates a silent segment, for test hosts.
     *
     * @param number number of the segment
     * @param seconds length of each segment, s
     * @param bytesPerSecond rate to approximate, in bytes per second
     */
    public byte[] silentSegment(long number, double seconds, double bytesPerSecond) {
        return switch (this) {
            case AAC -> Adts.segment(number, seconds, bytesPerSecond);
            case TS -> TransportStream.segment(number, seconds, bytesPerSecond);
            case FMP4 -> Fmp4.segment(number, seconds, bytesPerSecond);
        };
    }
}
