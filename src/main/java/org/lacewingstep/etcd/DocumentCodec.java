package org.lacewingstep.etcd;

import java.io.IOException;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.lacewingstep.blackboard.LifecycleSection;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.domain.Access;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.ServiceKind;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;

/** Encodes and decodes the JSON documents of the store and of state dumps. */
public final class DocumentCodec {
    private static final ObjectMapper MAPPER = createMapper();

    private DocumentCodec() {}

    /**
     * Decodes a configuration.
     *
     * @param document the JSON text in UTF-8, not null
     * @return the configuration, never null
     * @throws RouterException if the document is invalid
     */
    public static Configuration decodeConfiguration(final byte[] document) {
        return decode(document, Configuration.class);
    }

    /**
     * Decodes a document into a record.
     *
     * @param <T> the record's type
     * @param document the JSON text in UTF-8, not null
     * @param type the record's type, not null
     * @return the record, never null
     * @throws RouterException if the document is invalid
     */
    public static <T> T decode(final byte[] document, final Class<T> type) {
        try {
            return MAPPER.readValue(document, type);
        } catch (final IOException failure) {
            throw new RouterException(
                    ErrorCode.CONFIGURATION_INVALID,
                    "decode",
                    type.getSimpleName(),
                    "the stored document is invalid: " + failure.getMessage(),
                    failure);
        }
    }

    /**
     * Decodes a roster.
     *
     * @param document the JSON text in UTF-8, not null
     * @return the roster, never null
     * @throws RouterException if the document is invalid
     */
    public static Roster decodeRoster(final byte[] document) {
        return decode(document, Roster.class);
    }

    /**
     * Encodes a record as a document.
     *
     * @param document the record, not null
     * @return the JSON text in UTF-8, never null
     */
    public static byte[] encode(final Object document) {
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (final JsonProcessingException failure) {
            throw new RouterException(
                    ErrorCode.INTERNAL, "encode", document.getClass().getSimpleName(), failure.getMessage(), failure);
        }
    }

    private static ObjectMapper createMapper() {
        final SimpleModule module = new SimpleModule();
        registerAsText(module, AttemptIdentifier.class, AttemptIdentifier::toString, AttemptIdentifier::parse);
        registerAsText(module, CellName.class, CellName::value, CellName::new);
        registerAsText(module, FailureDomainName.class, FailureDomainName::value, FailureDomainName::new);
        registerAsText(module, Incarnation.class, Incarnation::toString, Incarnation::parse);
        registerAsText(module, InstanceName.class, InstanceName::value, InstanceName::new);
        registerAsText(module, KeyDigest.class, KeyDigest::value, KeyDigest::new);
        registerAsText(module, PeerAddress.class, PeerAddress::toString, PeerAddress::parse);
        registerAsText(module, PromptPart.class, PromptPart::identifier, PromptPart::new);
        registerAsText(module, RequestIdentifier.class, RequestIdentifier::value, RequestIdentifier::new);
        registerAsText(module, ServiceName.class, ServiceName::value, ServiceName::new);
        registerAsText(module, TeamName.class, TeamName::value, TeamName::new);
        registerAsText(module, UpstreamName.class, UpstreamName::value, UpstreamName::new);
        module.registerSubtypes(
                Access.OpenToAll.class, Access.OpenToTeams.class, ServiceKind.Model.class, ServiceKind.Plain.class);
        return OuterNames.register(new ObjectMapper())
                .registerModule(module)
                .registerModule(new Jdk8Module())
                .registerModule(new JavaTimeModule())
                .addMixIn(Access.class, TypeNameMixIn.class)
                .addMixIn(ServiceKind.class, TypeNameMixIn.class)
                .addMixIn(LifecycleSection.Stage.class, TypeNameMixIn.class)
                .addMixIn(RequestSection.Phase.class, TypeNameMixIn.class)
                .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
                .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .disable(SerializationFeature.FAIL_ON_ORDER_MAP_BY_INCOMPARABLE_KEY)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    private static <T> void registerAsText(
            final SimpleModule module,
            final Class<T> type,
            final Function<T, String> format,
            final Function<String, T> parse) {
        module.addSerializer(type, new TextSerializer<>(format));
        module.addKeySerializer(type, new TextKeySerializer<>(format));
        module.addDeserializer(type, new TextDeserializer<>(parse));
        module.addKeyDeserializer(type, new TextKeyDeserializer<>(parse));
    }

    /** Writes the simple name of the record as the property {@code kind}, which selects the variant when decoding. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "kind")
    private interface TypeNameMixIn {}

    private static final class TextDeserializer<T> extends JsonDeserializer<T> {
        private final Function<String, T> parse;

        TextDeserializer(final Function<String, T> parse) {
            this.parse = parse;
        }

        @Override
        public T deserialize(final JsonParser parser, final DeserializationContext context) throws IOException {
            return parse.apply(parser.getValueAsString());
        }
    }

    private static final class TextKeyDeserializer<T> extends KeyDeserializer {
        private final Function<String, T> parse;

        TextKeyDeserializer(final Function<String, T> parse) {
            this.parse = parse;
        }

        @Override
        public Object deserializeKey(final String key, final DeserializationContext context) {
            return parse.apply(key);
        }
    }

    private static final class TextKeySerializer<T> extends JsonSerializer<T> {
        private final Function<T, String> format;

        TextKeySerializer(final Function<T, String> format) {
            this.format = format;
        }

        @Override
        public void serialize(final T value, final JsonGenerator generator, final SerializerProvider provider)
                throws IOException {
            generator.writeFieldName(format.apply(value));
        }
    }

    private static final class TextSerializer<T> extends JsonSerializer<T> {
        private final Function<T, String> format;

        TextSerializer(final Function<T, String> format) {
            this.format = format;
        }

        @Override
        public void serialize(final T value, final JsonGenerator generator, final SerializerProvider provider)
                throws IOException {
            generator.writeString(format.apply(value));
        }
    }
}
