package emulator

import "math"

// failureMode is how a server that otherwise responds fails a request.
type failureMode uint8

const (
	// failReset resets the flow instead of answering.
	failReset failureMode = iota
	// failNoAnswer never answers.
	failNoAnswer
	// failError answers at once with a short error.
	failError
)

// answerOutcome is the outcome that an answer reports.
type answerOutcome uint8

const (
	answerComplete answerOutcome = iota
	// answerNotRun means that the request was rejected and did not run.
	answerNotRun
	// answerError means that the request ran and failed.
	answerError
)

// answer is a server's response to a request.
type answer struct {
	outcome answerOutcome
	// length is in bytes.
	length uint32
}

const (
	// shortAnswerLength is the length of errors, rejections and cached answers, in bytes.
	shortAnswerLength = 175
	// answerLengthSigma is the standard deviation of the logarithm of answer lengths.
	answerLengthSigma = 0.6
)

// answerTo returns a random answer to a request that has run.
func (s *server) answerTo(r *request) answer {
	length := float64(profiles[r.kind].answerLength) * s.answerScale
	if s.world.variedAnswers {
		// Models cache hits, which are short.
		if s.world.Chance(0.2) {
			return answer{answerComplete, shortAnswerLength}
		}
	}
	return answer{answerComplete, uint32(length * math.Exp(answerLengthSigma*s.world.Random.NormFloat64()))}
}
