package org.lacewingstep.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.lacewingstep.blackboard.CallInstruction.Reserve;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.UpstreamNotice;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.PromptSegment;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TokenDemand;
import org.lacewingstep.traffic.CallProtocol;
import org.lacewingstep.traffic.CallerRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads and writes the headers and bodies that the platform defines for callers and upstreams. */
public final class PlatformProtocol implements CallProtocol {
    private static final String API_KEY = "Api-Key";
    private static final String DEADLINE = "Deadline-Ms";
    static final String EXPECT_INSTANCE = "Expect-Instance";
    private static final String KV_HOLD = "Kv-Hold";
    private static final String KV_SOURCE = "Kv-Source";
    private static final String LAST_EVENT_ID = "Last-Event-Id";
    private static final String NOT_EXECUTED = "Not-Executed";
    private static final String PROMPT_PREFIX = "Prompt-Prefix";
    private static final String REQUEST_ID = "Request-Id";
    private static final String REQUEST_PRIORITY = "Request-Priority";
    private static final String RESPONSE_SEAL = "Response-Seal";
    private static final String STAGE = "Stage";
    private static final String TENANT = "Tenant";
    private static final String TOKEN_COUNT = "Token-Count";

    /** Names of headers that apply to one connection only and are never forwarded, in lower case. */
    private static final Set<String> CONNECTION_HEADERS = Set.of(
            "connection",
            "content-length",
            "expect",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    /** Names of headers that only the router may set; a caller's values are dropped. */
    private static final Set<String> RESERVED_HEADERS = lowerCase(
            DEADLINE,
            EXPECT_INSTANCE,
            API_KEY,
            "Kv-Backup",
            "Kv-Fetch",
            KV_HOLD,
            LAST_EVENT_ID,
            KV_SOURCE,
            "Pin-Ms",
            REQUEST_PRIORITY,
            STAGE,
            TENANT);

    /** Statuses that promise a caller that its request was not run, besides 421. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformProtocol.class);
    /** Wait limit of a request without a valid {@code Deadline-Ms} header. */
    private static final Duration DEFAULT_WAIT_LIMIT = Duration.ofHours(1);

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Pattern PROMPT_PREFIX_ENTRY = Pattern.compile("\\s*([0-9A-Fa-f]{1,64}):(\\d{1,9})\\s*");
    private static final int HTTP_MISDIRECTED_REQUEST = 421;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    @Override
    public CallParameters decodeRequest(
            final RequestIdentifier request, final CallerRequest callerRequest, final Instant now) {
        final List<PromptSegment> segments =
                promptSegments(callerRequest.headers().get(PROMPT_PREFIX));
        return new CallParameters(
                request,
                host(callerRequest),
                callerRequest.path(),
                Optional.ofNullable(callerRequest.headers().get(API_KEY)).map(KeyDigest::of),
                tokenDemand(callerRequest.headers().get(TOKEN_COUNT)),
                sharedPromptParts(segments),
                segments,
                waitLimit(callerRequest.headers().get(DEADLINE)),
                now);
    }

    @Override
    public Optional<String> callerIdentifier(final CallerRequest callerRequest) {
        return Optional.ofNullable(callerRequest.headers().get(REQUEST_ID)).filter(text -> !text.isBlank());
    }

    @Override
    public Optional<String> lastReceivedEvent(final CallerRequest callerRequest) {
        return Optional.ofNullable(callerRequest.headers().get(LAST_EVENT_ID));
    }

    @Override
    public HttpHeaders upstreamHeaders(
            final CallerRequest callerRequest,
            final Send instruction,
            final Optional<KvCacheReference> kvCacheReference,
            final Optional<String> reservation,
            final Optional<String> resumeAfter,
            final Instant now) {
        final HttpHeaders headers = upstreamHeaders(callerRequest, instruction, now);
        headers.set(EXPECT_INSTANCE, instruction.upstream().name().value());
        resumeAfter.ifPresent(event -> headers.set(LAST_EVENT_ID, event));
        reservation.ifPresent(identifier -> headers.set(KV_HOLD, identifier));
        kvCacheReference.ifPresent(source -> headers.set(KV_SOURCE, source.holder() + "/" + source.handle()));
        return headers;
    }

    @Override
    public HttpHeaders prefillHeaders(final CallerRequest callerRequest, final Send instruction, final Instant now) {
        final HttpHeaders headers = upstreamHeaders(callerRequest, instruction, now);
        instruction
                .prefill()
                .ifPresent(
                        upstream -> headers.set(EXPECT_INSTANCE, upstream.name().value()));
        headers.set(STAGE, "prefill");
        return headers;
    }

    @Override
    public Optional<KvCacheReference> decodePrefillResponse(final PeerAddress holder, final byte[] body) {
        return textField(body, "kvHandle").map(handle -> new KvCacheReference(holder, handle));
    }

    @Override
    public RouterRequest encodeReservation(final Reserve instruction) {
        final byte[] body = MAPPER.createObjectNode()
                .put("tokens", instruction.tokens())
                .put("ttlMs", instruction.lifetime().toMillis())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        final HttpHeaders headers = expectInstanceHeader(instruction);
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        return new RouterRequest(HttpMethod.POST, "/hold-take", headers, body);
    }

    @Override
    public Optional<String> decodeReservation(final byte[] body) {
        return textField(body, "hold");
    }

    @Override
    public RouterRequest encodeRelease(final Reserve instruction, final String reservation) {
        return new RouterRequest(
                HttpMethod.DELETE, "/hold-drop/" + reservation, expectInstanceHeader(instruction), new byte[0]);
    }

    @Override
    public boolean belongsToRequest(final CallerRequest callerRequest, final HttpResponse response) {
        final Optional<String> requestIdentifier = callerIdentifier(callerRequest);
        final Optional<String> responseIdentifier =
                Optional.ofNullable(response.headers().get(REQUEST_ID));
        if (requestIdentifier.isEmpty()) {
            // An upstream rejects a request without an identifier, and has none to echo.
            return responseIdentifier.isEmpty() && response.status().codeClass() != HttpStatusClass.SUCCESS;
        }
        return responseIdentifier.equals(requestIdentifier);
    }

    @Override
    public boolean belongsToRouterRequest(final HttpResponse response) {
        return !response.headers().contains(REQUEST_ID);
    }

    @Override
    public ResponseKind classify(final HttpResponse response) {
        if (response.headers().contains(NOT_EXECUTED) || response.status().code() == HTTP_MISDIRECTED_REQUEST) {
            return new ResponseKind.NotRun();
        }
        if (NOT_RUN_STATUSES.contains(response.status().code())) {
            return new ResponseKind.Unusable("the response lacks the Not-Executed header that its status requires");
        }
        if (response.status().codeClass() != HttpStatusClass.SUCCESS) {
            return new ResponseKind.Genuine();
        }
        if (!response.headers().contains(RESPONSE_SEAL) || !response.headers().contains(REQUEST_ID)) {
            return new ResponseKind.Unusable("the response lacks the Response-Seal or the Request-Id header");
        }
        if (response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            return new ResponseKind.Unusable("the response has a Content-Encoding that was not requested");
        }
        return new ResponseKind.Genuine();
    }

    @Override
    public UpstreamNotice decodeNotice(
            final RequestIdentifier request, final RegisteredUpstream upstream, final HttpResponse response) {
        return NoticeHeaders.decode(request, upstream, response);
    }

    @Override
    public HttpHeaders forwardedHeaders(final HttpResponse response) {
        return copyWithout(response.headers(), Set.of());
    }

    @Override
    public HttpHeaders routerHeaders(final CallerRequest callerRequest, final Duration retryAfter) {
        final HttpHeaders headers = new DefaultHttpHeaders();
        callerIdentifier(callerRequest).ifPresent(identifier -> headers.set(REQUEST_ID, identifier));
        if (retryAfter.isPositive()) {
            final double seconds = retryAfter.toMillis() / MILLISECONDS_PER_SECOND;
            headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds));
        }
        return headers;
    }

    private static Optional<String> textField(final byte[] body, final String field) {
        try {
            final JsonNode value = MAPPER.readTree(body).path(field);
            return value.isTextual() ? Optional.of(value.asText()) : Optional.empty();
        } catch (final IOException failure) {
            LOGGER.atWarn()
                    .addKeyValue("step", "decode")
                    .log("response body of an upstream is not valid JSON: {}", failure.getMessage());
            return Optional.empty();
        }
    }

    private static HttpHeaders expectInstanceHeader(final Reserve instruction) {
        return new DefaultHttpHeaders()
                .set(EXPECT_INSTANCE, instruction.upstream().name().value());
    }

    private static HttpHeaders upstreamHeaders(
            final CallerRequest callerRequest, final Send instruction, final Instant now) {
        final HttpHeaders headers = copyWithout(callerRequest.headers(), RESERVED_HEADERS);
        final long remainingMillis =
                Math.max(1, Duration.between(now, instruction.deadline()).toMillis());
        headers.set(DEADLINE, Long.toString(remainingMillis));
        instruction.team().ifPresent(team -> headers.set(TENANT, team.value()));
        instruction.urgency().ifPresent(urgency -> headers.set(REQUEST_PRIORITY, Integer.toString(urgency.rank())));
        return headers;
    }

    private static HttpHeaders copyWithout(final HttpHeaders headers, final Set<String> excluded) {
        final Set<String> connectionOptions = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        headers.getAll(HttpHeaderNames.CONNECTION).forEach(value -> {
            for (final String name : value.split(",")) {
                connectionOptions.add(name.trim());
            }
        });
        final HttpHeaders copy = new DefaultHttpHeaders(false);
        headers.forEach(entry -> {
            final String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!CONNECTION_HEADERS.contains(name) && !excluded.contains(name) && !connectionOptions.contains(name)) {
                copy.add(entry.getKey(), entry.getValue());
            }
        });
        return copy;
    }

    private static String host(final CallerRequest callerRequest) {
        final String host = callerRequest.headers().get(HttpHeaderNames.HOST, "");
        final int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    /** Parses the number of prompt tokens and the maximum number of output tokens, separated by a comma. */
    private static Optional<TokenDemand> tokenDemand(final String header) {
        if (header == null || !header.matches("\\s*\\d{1,9}\\s*,\\s*\\d{1,9}\\s*")) {
            return Optional.empty();
        }
        final String[] parts = header.split(",");
        return Optional.of(new TokenDemand(Long.parseLong(parts[0].trim()), Long.parseLong(parts[1].trim())));
    }

    /** Parses the parts of the prompt and their lengths; their number is bounded by the size of the head only. */
    private static List<PromptSegment> promptSegments(final String header) {
        if (header == null) {
            return List.of();
        }
        final List<PromptSegment> segments = new ArrayList<>();
        for (final String entry : header.split(",", -1)) {
            final Matcher matcher = PROMPT_PREFIX_ENTRY.matcher(entry);
            if (!matcher.matches()) {
                return List.of();
            }
            segments.add(new PromptSegment(
                    new PromptPart(matcher.group(1).toLowerCase(Locale.ROOT)), Long.parseLong(matcher.group(2))));
        }
        return segments;
    }

    /** Lists the parts without the last one, which belongs to the request or its session alone. */
    private static List<PromptPart> sharedPromptParts(final List<PromptSegment> segments) {
        return segments.stream()
                .limit(Math.max(0, segments.size() - 1))
                .map(PromptSegment::part)
                .distinct()
                .toList();
    }

    private static Duration waitLimit(final String header) {
        if (header == null || !header.matches("\\d{1,9}")) {
            return DEFAULT_WAIT_LIMIT;
        }
        return Duration.ofMillis(Long.parseLong(header));
    }

    private static Set<String> lowerCase(final String... names) {
        final Set<String> lower = new TreeSet<>();
        for (final String name : names) {
            lower.add(name.toLowerCase(Locale.ROOT));
        }
        return Set.copyOf(lower);
    }
}
