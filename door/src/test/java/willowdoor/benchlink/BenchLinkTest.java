package willowdoor.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Plays short scripts of bench messages, and checks the exact replies. */
class BenchLinkTest {

  private static final String ATTACH = """
      {"m":"Mark","ClockMs":1000,"n":1}
      {"m":"Attach","DoorId":3,"RandomSeed":5,"Setup":{"Balancers":2,"MyZone":"a","NewKey":[1,{"x":null}],
      "Bounds":{"MaxAttempts":3,"Cancel":true},"Extra":{"Counter":true,"CountLimitMs":30,"MaxUnits":4},
      "Rules":{"ColdFrom":0.2,"ColdMs":9000,"TipMultiple":3,"TipAfterMs":2000},
      "Profiles":[{"Name":"c","Repeat":"pure","AimMs":1000,"DeadlineMs":4000,"Value":1}],
      "Tariffs":[{"Name":"p","Refill":2,"PeakUnits":10,"WorthFactor":1}]}}
      {"m":"List","Bank":0,"Items":[{"Backend":51,"RegionPart":"a","Lifecycle":"SERVING"}]}
      {"m":"Discovery","DoorId":3,"Bank":0,"Form":"remembered","Revision":1}
      {"m":"Go"}
      """;
  private static final String SERVED = """
      {"m":"Mark","ClockMs":2000.5,"n":2}
      {"m":"Req","DoorId":3,"Tid":"r1","GiveUpAtMs":6000.5,"Package":"p","Kind":"c","EntryPoints":2,\
      "CostUnits":2,"Customer":7}
      {"m":"Unheard","DoorId":3,"Tid":"r1"}
      {"m":"Go"}
      {"m":"Mark","ClockMs":2002.5,"n":3}
      {"m":"Reckoned","DoorId":3,"Book":"7:0","StateCode":"OK","Value":2,"LatencyMs":2}
      {"m":"Go"}
      {"m":"Mark","ClockMs":2100.5,"n":4}
      {"m":"Result","DoorId":3,"Tid":"r1","SendNo":0,"Backend":51,"StateCode":"OK","LatencyMs":98,\
      "Last":true,"FinalUnits":3,"Load":{"mean_ms":90,"concurrent":1,"odd":"x"}}
      {"m":"Halt","DoorId":3}
      {"m":"Elapsed","DoorId":3,"Label":"tick"}
      {"m":"Go"}
      """;
  private static final String REPLIES = """
      {"m":"After","DoorId":3,"InstantMs":1025.0,"Label":"tick"}
      {"m":"Ack","n":1}
      {"m":"PostAmount","DoorId":3,"Book":"7:0","Qty":2.0,"TtlMs":60000.0}
      {"m":"Ack","n":2}
      {"m":"Relay","DoorId":3,"Tid":"r1","Backend":51,"TimeoutMs":3983.0}
      {"m":"Ack","n":3}
      {"m":"Ack","n":4}
      """;

  private static String play(String input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new BenchLink(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void answersEachBatchExactlyAndTheSameTwice() throws IOException {
    assertEquals(REPLIES, play(ATTACH + SERVED));
    assertEquals(play(ATTACH + SERVED), play(ATTACH + SERVED));
  }

  @Test
  void malformedInputEndsWithAnError() {
    assertThrows(IOException.class, () -> play("{\"m\":\"Mark\",\"ClockMs\":"));
    assertThrows(IOException.class, () -> play("{\"m\":\"Mark\"]"));
    assertThrows(IOException.class, () -> play("[1]"));
  }

  @Test
  void endOfInputEndsQuietly() throws IOException {
    assertTrue(play("").isEmpty());
  }
}
