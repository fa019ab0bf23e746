package petrelstand.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.decision.Scheduling.Capabilities;
import petrelstand.decision.Scheduling.DedupGroup;
import petrelstand.decision.Scheduling.DiscoveryMode;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.Plan;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Rules;
import petrelstand.decision.Scheduling.Settings;

/**
 * Guards against renames in the settings records: the fingerprint stored with a snapshot is a hash of their toString(),
 * so a renamed record, component or enum constant would make gateways reject the snapshots of an earlier version.
 */
class SettingsFingerprintTest {
    private static final Settings SETTINGS = settings(DiscoveryMode.PUSHED);

    private static Settings settings(DiscoveryMode discovery) {
        return new Settings(
                4,
                1,
                2,
                2.0,
                List.of(
                        requestClass("tile-read", Effect.REPEATABLE, DedupGroup.ALL),
                        requestClass("survey-write", Effect.KEYED, DedupGroup.ZONE),
                        requestClass("bulk-export", Effect.UNSAFE, DedupGroup.SHARD)),
                List.of(new Plan("basic", 10.5, 5.25, 1.5, 2.5, 60.0, 40.0, 0.125)),
                discovery,
                new Capabilities(3, true, false, true, false, true, 2000.0, 250.0, 15000.0),
                new Rules(100.0, 8000.0, 50.0, 0.25, 18000.0, 1500.0, 2.0, 30000.0, 10.0, 0.1, 10000.0),
                20.0,
                1.5,
                4.0,
                0.75,
                0.5,
                1000.0,
                true,
                List.of("iops"),
                List.of("a", "b", "c"));
    }

    private static RequestClass requestClass(String name, Effect effect, DedupGroup group) {
        return new RequestClass(name, 250.0, 1.25, 1500.0, 3.0, 0.5, effect, group, 2500.0, true, false, true);
    }

    @Test
    void fingerprintOfLiteralSettingsIsUnchanged() {
        assertEquals("121e32defc386e78", Long.toHexString(Snapshot.fingerprint(SETTINGS)));
    }

    @Test
    void fingerprintWithTheOtherDiscoveryModeIsUnchanged() {
        assertEquals("c40ad36757bb99f1", Long.toHexString(Snapshot.fingerprint(settings(DiscoveryMode.ASKED))));
    }
}
