package emulator

import "time"

// cutHalfWhileAddressesGo cuts half of the balancers off from just before servers crash until after their
// addresses have gone to others: these learn of both at once, late.
func (w *world) cutHalfWhileAddressesGo() {
	w.cutEverySecond(troubleStart-time.Second, 6*time.Second)
}
