package org.lacewingstep.upstream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a head is judged alike however it is divided into the parts that the network delivers. */
class ResponseDecoderTest {
    private static final String FIELDS = "Server: s\r\nContent-Length: 4\r\n";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nServer: s\r\n",
                "HTTP/1.1 0200 OK\r\nServer: s\r\n",
                "HTTP/1.1 200 OK\r\nNa me: v\r\n" + FIELDS,
                "HTTP/1.1 200 OK\r\nName : v\r\n" + FIELDS,
                "HTTP/1.1 200 OK\r\n Name: v\r\n" + FIELDS,
                "HTTP/1.1 200 OK\r\n" + FIELDS + "Na\tme: v\r\n",
                "HTTP/1.1 200 OK\r\n" + FIELDS + "Name\r\n",
                "HTTP/1.1 200 OK\r\n" + FIELDS + "Name v\r\n",
                "HTTP/1.1 200 OK\r\nServer: s\r\n Name: v\r\nContent-Length: 4\r\n",
                "\r\nHTTP/1.1 200 OK\r\nServer: s\r\nContent-Length x: 2\r\n",
                "HTTP/0.9 200 OK\r\n" + FIELDS,
                "HTTP/2.0 200 OK\r\n" + FIELDS,
                "HTTP/11.1 200 OK\r\n" + FIELDS,
                "http/1.1 200 OK\r\n" + FIELDS,
                "HTTP/1.1 200 O\u0000K\r\n" + FIELDS,
                "HTTP/1.1 200 O\u0007K\r\n" + FIELDS,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n"
            })
    void invalidHeadFails(final String head) {
        assertThat(responses(head + "\r\ndone", Integer.MAX_VALUE)).containsExactly("failed");
        assertThat(responses(head + "\r\ndone", 1)).containsExactly("failed");
    }

    @ParameterizedTest
    @ValueSource(strings = {"Na me: v", "Name : v", "Na\tme: v", " Name: v", "Name v", "Content-Length x: 2"})
    void invalidTrailerFails(final String field) {
        final String body = "2;a=b c\r\n\r\n\r\n4\r\na b\n\r\n0\r\n";
        final String bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;

        for (final int partBytes : List.of(1, 7, 30, Integer.MAX_VALUE)) {
            assertThat(responses(bytes + "Server: s\r\n" + field + "\r\n\r\n", partBytes))
                    .as("in parts of %s bytes", partBytes)
                    .containsExactly("200 \r\na b\n", "failed");
            assertThat(responses(bytes + "Server: a b\r\nName:\r\n\r\n", partBytes))
                    .containsExactly("200 \r\na b\n");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n" + FIELDS,
                "HTTP/1.1 200\r\n" + FIELDS,
                "HTTP/1.0 200 OK\r\n" + FIELDS,
                "HTTP/1.2 200 O\tK \u00e9\r\n" + FIELDS,
                "HTTP/1.1 200 Quite OK\r\nName:v\r\nName: a b: c\tt \r\nName:\r\n" + FIELDS,
                "\r\n\r\nHTTP/1.1 200 OK\r\n" + FIELDS
            })
    void validHeadPasses(final String head) {
        assertThat(responses(head + "\r\ndone", Integer.MAX_VALUE)).containsExactly("200 done");
        assertThat(responses(head + "\r\ndone", 1)).containsExactly("200 done");
    }

    @Test
    void eachResponseOfAConnectionIsJudgedAlone() {
        final String informational = "HTTP/1.1 100 Continue\r\n\r\n";
        final String chunked =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na b\n\r\n0\r\nName: v\r\n\r\n";
        final String invalid = "HTTP/1.1 200 OK\r\nNa me: v\r\n" + FIELDS + "\r\ndone";
        final String bytes = informational + chunked + "HTTP/1.1 201 OK\r\n" + FIELDS + "\r\ndone" + invalid;

        for (final int partBytes : List.of(1, 7, 30, Integer.MAX_VALUE)) {
            assertThat(responses(bytes, partBytes))
                    .as("in parts of %s bytes", partBytes)
                    .containsExactly("100 ", "200 a b\n", "201 done", "failed");
        }
    }

    /** Decodes bytes that arrive in parts, up to the first response that fails. */
    private static List<String> responses(final String text, final int partBytes) {
        final byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        final EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());
        for (int offset = 0; offset < bytes.length; ) {
            final int length = Math.min(partBytes, bytes.length - offset);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, offset, length));
            offset += length;
        }
        channel.finish();
        final List<String> responses = new ArrayList<>();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (((HttpObject) message).decoderResult().isFailure()) {
                responses.add("failed");
                return responses;
            }
            if (message instanceof HttpResponse response) {
                responses.add(response.status().code() + " ");
            }
            if (message instanceof HttpContent content) {
                responses.add(responses.removeLast() + content.content().toString(StandardCharsets.ISO_8859_1));
            }
            ReferenceCountUtil.release(message);
        }
        return responses;
    }
}
