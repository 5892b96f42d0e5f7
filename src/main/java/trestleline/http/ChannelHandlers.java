package trestleline.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Channel handlers for what the HTTP library does not report: bytes of an incomplete request head, and requests that
 * are pipelined behind another one.
 */
final class ChannelHandlers {
    private ChannelHandlers() {}

    /** Reports the size of each read; must be the first handler of the pipeline. */
    static final class ReadMeter extends ChannelInboundHandlerAdapter {
        /** Gets the size of a read before it is processed. */
        interface ReadListener {
            /** Called with the number of bytes that were read and the number of line ends among them. */
            void onRead(int bytes, int lines);
        }

        private final ReadListener listener;
        private final Runnable onProcessed;

        /** @param onProcessed runs after the rest of the pipeline has processed a read */
        ReadMeter(ReadListener listener, Runnable onProcessed) {
            this.listener = listener;
            this.onProcessed = onProcessed;
        }

        private static int countLines(ByteBuf buffer) {
            int[] lines = {0};
            buffer.forEachByte(octet -> {
                if (octet == '\n') lines[0]++;
                return true;
            });
            return lines[0];
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf buffer) listener.onRead(buffer.readableBytes(), countLines(buffer));
            context.fireChannelRead(message);
            onProcessed.run();
        }
    }

    /**
     * Closes a connection on which too many requests are pending; must come after the decoder. Pausing reads would
     * bound them too, but the disconnection of a viewer is not noticed on a connection that is not read.
     */
    static final class PipeliningLimit extends ChannelDuplexHandler {
        private final int maxPending;
        private final Runnable onOverflow;
        private int pending;
        private boolean closed;

        PipeliningLimit(int maxPending, Runnable onOverflow) {
            this.maxPending = maxPending;
            this.onOverflow = onOverflow;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (closed) {
                io.netty.util.ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpRequest && ++pending > maxPending) {
                closed = true;
                io.netty.util.ReferenceCountUtil.release(message);
                onOverflow.run();
                context.close();
                return;
            }
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof LastHttpContent && pending > 0) pending--;
            context.write(message, promise);
        }
    }
}
