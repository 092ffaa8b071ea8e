package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;

/** The platform's list of VMs. */
public final class VmListCodec {
    /** Label that names the failure domain of a VM. */
    public static final String FAILURE_DOMAIN = "sesamehead.io/failure-domain";

    private static final String FABRIC_DOMAIN = "sesamehead.io/fabric-domain";
    private static final String ACCELERATORS = "sesamehead.io/accelerators";
    private static final String ACCELERATOR_MEMORY_GB = "sesamehead.io/accelerator-memory-gb";
    private static final String ENGINE_ADDRESS = "sesamehead.io/engine-address";

    private VmListCodec() {}

    /**
     * Decodes the answer to {@code GET /api/v1/nodes}. VMs without an engine address run no engine and are left out.
     *
     * @param tree the JSON list
     * @return the VMs
     * @throws MalformedMessageException if an entry with an engine address lacks a label
     */
    public static ImmutableList<Vm> decode(JsonNode tree) throws MalformedMessageException {
        ImmutableList.Builder<Vm> result = ImmutableList.builder();
        for (JsonNode item : JsonFields.of(tree).items("items")) {
            JsonFields node = JsonFields.of(item);
            JsonFields metadata = node.object("metadata");
            if (metadata.has("annotations") && metadata.object("annotations").has(ENGINE_ADDRESS)) {
                result.add(decodeNode(node, metadata));
            }
        }
        return result.build();
    }

    private static Vm decodeNode(JsonFields node, JsonFields metadata) throws MalformedMessageException {
        JsonFields labels = metadata.object("labels");
        boolean leaving = node.has("spec") && node.object("spec").flagOr("unschedulable", false);
        return new Vm(
                new VmId(metadata.nonBlank("name")),
                new FailureDomain(labels.nonBlank(FAILURE_DOMAIN)),
                new FabricDomain(labels.nonBlank(FABRIC_DOMAIN)),
                labelNumber(labels, ACCELERATORS),
                labelNumber(labels, ACCELERATOR_MEMORY_GB),
                metadata.object("annotations").nonBlank(ENGINE_ADDRESS),
                leaving);
    }

    private static int labelNumber(JsonFields labels, String name) throws MalformedMessageException {
        String value = labels.text(name);
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new MalformedMessageException("label " + name + " is not a number: " + value);
        }
    }
}
