// Package fuzzinput derives a seed corpus of malformed inputs for fuzz targets from a few
// valid ones.
//
// The mutations are deterministic: unlike with the inputs of the Go fuzzer, go test tries the
// same ones in each run. The fuzzer also uses them as its seed corpus.
//
// # Usage
//
//	func FuzzDecode(f *testing.F) {
//		fuzzinput.Add(f, validDatagram, otherValidDatagram)
//		f.Fuzz(func(t *testing.T, datagram []byte) { decode(datagram) })
//	}
package fuzzinput

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	// mutationsPerInput is the number of inputs derived from each valid one.
	mutationsPerInput = 200
	// maxChanges is the maximum number of changes to one input.
	maxChanges = 4
	// seed is part of the seed of the random numbers.
	seed = 20261202
)

// boundaryValues are integers that often expose faults in decoders of lengths and counts.
var boundaryValues = []uint32{0, 1, 0x7f, 0x80, 0xff, 0x7fff, 0x8000, 0xffff, 1 << 20, 0x7fffffff, 0x80000000, 0xffffffff}

// Add adds the valid inputs and their mutations to the seed corpus of the fuzz target.
func Add(f *testing.F, valid ...[]byte) {
	f.Helper()
	for _, input := range Make(valid) {
		f.Add(input)
	}
}

// Make returns the valid inputs followed by their mutations. Equal arguments give equal
// results.
func Make(valid [][]byte) [][]byte {
	rng := rand.New(rand.NewPCG(seed, uint64(len(valid))))
	inputs := slices.Clone(valid)
	for _, input := range valid {
		for range mutationsPerInput {
			inputs = append(inputs, mutate(rng, input, valid))
		}
	}
	return inputs
}

// mutate returns a copy of the input with 1 to maxChanges random changes.
func mutate(rng *rand.Rand, input []byte, inputs [][]byte) []byte {
	mutated := slices.Clone(input)
	for range 1 + rng.IntN(maxChanges) {
		if len(mutated) == 0 {
			return mutated
		}
		at := rng.IntN(len(mutated))
		switch rng.IntN(7) {
		case 0:
			mutated[at] ^= 1 << rng.IntN(8)
		case 1:
			mutated[at] = byte(rng.Uint32())
		case 2:
			mutated = mutated[:at]
		case 3:
			mutated = slices.Delete(mutated, at, min(len(mutated), at+1+rng.IntN(8)))
		case 4:
			mutated = slices.Insert(mutated, at, mutated[at:min(len(mutated), at+1+rng.IntN(32))]...)
		case 5:
			value := binary.BigEndian.AppendUint32(nil, boundaryValues[rng.IntN(len(boundaryValues))])
			mutated = append(mutated[:at], append(value, mutated[min(len(mutated), at+len(value)):]...)...)
		case 6:
			other := inputs[rng.IntN(len(inputs))]
			mutated = append(mutated[:at], other[min(len(other), at):]...)
		}
	}
	return mutated
}
