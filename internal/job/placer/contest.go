package placer

// Group is a set of workers with the same serving images.
type Group struct {
	// Idle is what work that fills can expect to get there, in thousandths of a core.
	Idle int64
	// Harmless tells for each filling image whether it harms nobody badly there.
	Harmless []bool
}

// Contest tells how much other images need a group of workers.
type Contest struct {
	// image is the one with the highest pressure, -1 for none.
	image int
	// most is its pressure, next the highest of all others.
	most, next float64
}

// mostPressure bounds the pressure of one image, so that none with a tiny pool outweighs all else.
const mostPressure = 3.0

// Contests returns the contest of each group. The pressure of an image is what its tasks ask for, as a
// share of what is idle where they harm nobody. It answers images of which some may run nearly
// everywhere and others in few places: the former leave these places to the latter.
func Contests(groups []Group, asked []int64) []Contest {
	contests := make([]Contest, len(groups))
	for gx := range contests {
		contests[gx].image = -1
	}
	for image, cores := range asked {
		room := int64(1)
		for gx := range groups {
			if groups[gx].Harmless[image] {
				room += groups[gx].Idle
			}
		}
		pressure := min(float64(cores)/float64(room), mostPressure)
		for gx := range groups {
			if groups[gx].Harmless[image] {
				contests[gx].add(image, pressure)
			}
		}
	}
	return contests
}

func (ct *Contest) add(image int, pressure float64) {
	switch {
	case ct.image < 0 || pressure > ct.most:
		ct.image, ct.most, ct.next = image, pressure, ct.most
	case pressure > ct.next:
		ct.next = pressure
	}
}

// Beside returns the highest pressure of other images.
func (ct *Contest) Beside(image int) float64 {
	if ct.image == image {
		return ct.next
	}
	return ct.most
}
