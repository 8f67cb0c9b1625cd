package emulator

import "math"

// failure is how a server that is well by all signs fails a request.
type failure uint8

const (
	// failReset resets the flow in place of an answer.
	failReset failure = iota
	// failMute never answers.
	failMute
	// failError answers at once with a short error.
	failError
)

// answerOutcome is what an answer says.
type answerOutcome uint8

const (
	answerWhole answerOutcome = iota
	// answerNotRun says that the request did not run.
	answerNotRun
	// answerFailed is an error.
	answerFailed
)

// answer is what a server sends back.
type answer struct {
	outcome answerOutcome
	// length is in bytes.
	length uint32
}

const (
	// refusalLength is the length of answers that are errors or say that a request did not run.
	refusalLength = 175
	// answerSpread is the spread of the logarithm of the lengths of answers.
	answerSpread = 0.6
)

// answerTo draws the answer to a request that has run.
func (s *server) answerTo(r *request) answer {
	length := float64(profiles[r.kind].answer) * s.shorter
	if s.world.varied {
		// As where one answer in five comes short and at once from a cache.
		if s.world.Chance(0.2) {
			return answer{answerWhole, refusalLength}
		}
	}
	return answer{answerWhole, uint32(length * math.Exp(answerSpread*s.world.Random.NormFloat64()))}
}
