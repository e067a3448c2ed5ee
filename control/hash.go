package control

// mix hashes a 64-bit number: the finalizer of SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number
// Generators, OOPSLA 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
