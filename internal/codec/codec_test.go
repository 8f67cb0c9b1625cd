package codec

import (
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

type element struct {
	Name  string
	Place [32]byte
}

type message struct {
	Elements []element
	Names    []string
	ByName   map[string]element
}

const (
	// most bounds what a message without content may allocate, in bytes.
	most = 1 << 16
	// mostForText is the same for a text: the library grows a buffer by a megabyte at a
	// time, and takes twice as much under the race detector.
	mostForText = 2<<20 + most
)

// TestWhatIsAnnouncedButMissingIsNotAllocated hands over headers of a million elements
// with nothing behind them.
func TestWhatIsAnnouncedButMissingIsNotAllocated(t *testing.T) {
	million := []byte{0x00, 0x10, 0x00, 0x00}
	for _, c := range []struct {
		name   string
		header []byte
		most   uint64
	}{
		{"list of structures", []byte{0x93, 0xdd}, most},
		{"list of texts", []byte{0x93, 0xc0, 0xdd}, most},
		{"table", []byte{0x93, 0xc0, 0xc0, 0xdf}, most},
		{"text", []byte{0x93, 0xc0, 0x91, 0xdb}, mostForText},
	} {
		t.Run(c.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := Unmarshal(append(c.header, million...), &message{})
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("accepted")
			}
			if taken := after.TotalAlloc - before.TotalAlloc; taken > c.most {
				t.Errorf("%d bytes allocated", taken)
			}
		})
	}
}

func TestUnmarshalReturnsWhatWasMarshalled(t *testing.T) {
	sent := message{Elements: []element{{Name: "a"}, {Name: "b"}}, Names: []string{"c"}}
	data, err := msgpack.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	var got message
	if err := Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Elements) != 2 || got.Elements[1].Name != "b" || got.Names[0] != "c" {
		t.Errorf("got %+v", got)
	}
}

// TestALongMessageIsReadInPieces: it pauses as often as there are pieces, in both passes.
func TestALongMessageIsReadInPieces(t *testing.T) {
	sent := message{Elements: make([]element, 1000), Names: []string{"last"}}
	data, err := msgpack.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	const piece = 4096
	var got message
	pauses := 0
	if err := UnmarshalInPieces(data, &got, piece, func() { pauses++ }); err != nil {
		t.Fatal(err)
	}
	if least := 2 * (len(data)/piece - 1); pauses < least || len(got.Elements) != 1000 || got.Names[0] != "last" {
		t.Errorf("%d pauses in %d bytes, want %d", pauses, len(data), least)
	}
}
