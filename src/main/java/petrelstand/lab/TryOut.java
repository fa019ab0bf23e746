package petrelstand.lab;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import petrelstand.config.GatewayConfig;

/** A gateway's file for trying it by hand: before the stand-in platform, with settings like the deployment's. */
public final class TryOut {
    private TryOut() {}

    /** The gateway that listens on an address, before a platform. */
    public static GatewayConfig config(StandInPlatform platform, String listen) throws IOException {
        try (InputStream file = TryOut.class.getResourceAsStream("/tryout.json")) {
            JsonObject json = JsonParser.parseString(new String(file.readAllBytes(), StandardCharsets.UTF_8))
                    .getAsJsonObject();
            json.addProperty("listen", listen);
            json.addProperty("discovery", "127.0.0.1:" + platform.discoveryPort());
            json.add("known", platform.list());
            return GatewayConfig.parse(json.toString(), Map.of());
        }
    }
}
