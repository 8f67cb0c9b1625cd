package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Report is the part of the bench's report on a day that the bound needs.
type Report struct {
	// Worth is the day's credit minus prices.
	Worth   float64 `json:"G"`
	Parts   []Part  `json:"parts"`
	Prices  []Price `json:"prices"`
	Classes []Tally `json:"classes"`
	Zones   []Tally `json:"zones"`
	// Windows are two seconds long each and named by their first second.
	Windows []Tally `json:"windows"`
	Events  []Event `json:"events"`
	Touch   struct {
		// Out has by machine the times out of touch, as "FROM to TO, FROM to TO" in seconds.
		Out map[string]string `json:"out"`
	} `json:"touch"`
}

// Tally counts requests.
type Tally struct {
	Name   string  `json:"name"`
	Count  float64 `json:"n"`
	InAim  float64 `json:"in_aim"`
	Late   float64 `json:"late"`
	Failed float64 `json:"failed"`
	// Worth is the credit earned as a share of the credit owed.
	Worth float64 `json:"worth"`
}

// Event is one disturbance.
type Event struct {
	At   float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	// What names the machines that it struck, but not always all of them.
	What string `json:"what"`
}

// Part is a weighted part of the credit.
type Part struct {
	Name          string
	Weight, Value float64
}

// UnmarshalJSON reads a part from its list.
func (p *Part) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, &[]any{&p.Name, &p.Weight, &p.Value})
}

// Price is a deduction from the credit.
type Price struct {
	Name         string
	Amount, Cost float64
}

// UnmarshalJSON reads a price from its list.
func (p *Price) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, &[]any{&p.Name, &p.Amount, &p.Cost})
}

func readReport(name string) (*Report, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	if err := json.Unmarshal(data, report); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return report, nil
}

// span is an interval of the day, in time since the start of traffic.
type span struct {
	from, to time.Duration
}

// contains reports whether the moment is in the span.
func (s span) contains(at time.Duration) bool { return s.from <= at && at < s.to }

// outOfTouch returns the spans out of touch by machine.
func (r *Report) outOfTouch() (map[string][]span, error) {
	machines := map[string][]span{}
	for machine, text := range r.Touch.Out {
		for _, part := range strings.Split(text, ", ") {
			if part == "" {
				continue
			}
			from, to, found := strings.Cut(part, " to ")
			fromS, err := strconv.ParseFloat(from, 64)
			toS, toErr := strconv.ParseFloat(to, 64)
			if !found || err != nil || toErr != nil {
				return nil, fmt.Errorf("machine %s: %q is not of the form \"FROM to TO\" in seconds", machine, part)
			}
			machines[machine] = append(machines[machine], span{seconds(fromS), seconds(toS)})
		}
	}
	return machines, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
