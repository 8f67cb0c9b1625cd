package emulator

import "time"

// partitionDuringAddressReuse partitions half of the balancers from before servers crash until
// after their addresses are reused, so that these balancers learn of both changes at once.
func (w *world) partitionDuringAddressReuse() {
	w.partitionEverySecond(faultStart-time.Second, 6*time.Second)
}
