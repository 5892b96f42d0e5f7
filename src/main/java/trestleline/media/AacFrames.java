package trestleline.media;

/**
 * The AAC frames of one segment. The first frame and its time depend on the segment's number alone, so segments of
 * different rungs join without gap or overlap.
 *
 * @param firstFrame number of the first frame, counted from the start of the stream
 * @param sizes size of each frame, bytes
 */
record AacFrames(long firstFrame, int[] sizes) {
    static final int SAMPLE_RATE_HZ = 44100;
    static final int SAMPLES_PER_FRAME = 1024;

    /** Returns the number of frames that start before a time on the stream. */
    static long countBefore(double seconds) {
        return (long) Math.ceil(seconds * SAMPLE_RATE_HZ / SAMPLES_PER_FRAME - 1e-9);
    }

    /**
     * Returns the frames of a segment. Their sizes follow the rate to within one byte per frame, as far as the limits
     * of the frame size allow.
     */
    static AacFrames ofSegment(
            long number, double seconds, double bytesPerSecond, int minFrameBytes, int maxFrameBytes) {
        long start = countBefore(number * seconds);
        long end = countBefore((number + 1) * seconds);
        int[] sizes = new int[(int) (end - start)];
        double bytesPerFrame = bytesPerSecond * SAMPLES_PER_FRAME / SAMPLE_RATE_HZ;
        double bytesDue = 0;
        for (int i = 0; i < sizes.length; i++) {
            bytesDue += bytesPerFrame;
            sizes[i] = (int) Math.max(minFrameBytes, Math.min(maxFrameBytes, Math.round(bytesDue)));
            bytesDue -= sizes[i];
        }
        return new AacFrames(start, sizes);
    }

    /** Returns the start of the frame at {@code index} of this segment, in ticks of 90 kHz. */
    long startTicks(int index) {
        return (firstFrame + index) * SAMPLES_PER_FRAME * 100 / 49; // 90000 / 44100
    }
}
