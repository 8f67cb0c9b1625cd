package fuzzinput

import (
	"bytes"
	"testing"
)

func TestMakeIsDeterministic(t *testing.T) {
	valid := [][]byte{[]byte("a datagram"), []byte("another one"), {}}
	original := bytes.Clone(valid[0])
	first, second := Make(valid), Make(valid)
	if len(first) != len(valid)*(1+mutationsPerInput) {
		t.Fatalf("%d inputs", len(first))
	}
	different := 0
	for i := range first {
		if !bytes.Equal(first[i], second[i]) {
			t.Fatalf("input %d differs between calls: %q, %q", i, first[i], second[i])
		}
		if !bytes.Equal(first[i], valid[i%len(valid)]) {
			different++
		}
	}
	if different < len(valid)*mutationsPerInput/2 {
		t.Errorf("only %d inputs differ from the valid ones", different)
	}
	if !bytes.Equal(valid[0], original) {
		t.Error("Make modified a valid input")
	}
}
