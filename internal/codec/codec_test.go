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
	// maxAllocated is the most that a truncated message may allocate, in bytes.
	maxAllocated = 1 << 16
	// maxAllocatedForString is the same for a string: the library grows its buffer by
	// 1 MiB at a time, and the race detector doubles that.
	maxAllocatedForString = 2<<20 + maxAllocated
)

// TestDeclaredLengthIsNotAllocated guards against memory exhaustion by headers that
// declare a million elements without content.
func TestDeclaredLengthIsNotAllocated(t *testing.T) {
	million := []byte{0x00, 0x10, 0x00, 0x00}
	for _, c := range []struct {
		name   string
		header []byte
		limit  uint64
	}{
		{"list of structs", []byte{0x93, 0xdd}, maxAllocated},
		{"list of strings", []byte{0x93, 0xc0, 0xdd}, maxAllocated},
		{"map", []byte{0x93, 0xc0, 0xc0, 0xdf}, maxAllocated},
		{"string", []byte{0x93, 0xc0, 0x91, 0xdb}, maxAllocatedForString},
	} {
		t.Run(c.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := Unmarshal(append(c.header, million...), &message{})
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("a truncated message was decoded")
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > c.limit {
				t.Errorf("%d bytes allocated", allocated)
			}
		})
	}
}

func TestUnmarshalRoundTrip(t *testing.T) {
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

// TestUnmarshalInPiecesPauses checks that both passes over a message pause after each piece.
func TestUnmarshalInPiecesPauses(t *testing.T) {
	sent := message{Elements: make([]element, 1000), Names: []string{"last"}}
	data, err := msgpack.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	const pieceSize = 4096
	var got message
	pauses := 0
	if err := UnmarshalInPieces(data, &got, pieceSize, func() { pauses++ }); err != nil {
		t.Fatal(err)
	}
	if minPauses := 2 * (len(data)/pieceSize - 1); pauses < minPauses || len(got.Elements) != 1000 || got.Names[0] != "last" {
		t.Errorf("%d pauses in %d bytes, want at least %d", pauses, len(data), minPauses)
	}
}
