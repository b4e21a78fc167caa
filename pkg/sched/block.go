package sched

import "math/bits"

// Accelerators of a worker are bits of a mask. A block is an aligned power of
// two of them, as in a buddy allocator: a free block splits when a part of it
// is taken and merges again when both halves are free, which the mask gives
// without bookkeeping.

const maxBlockLevel = 6 // 2^6 = 64 accelerators in a worker at most

// aligned[l] has a bit at each multiple of 2^l.
var alignedStarts = func() (m [maxBlockLevel + 1]uint64) {
	for l := range m {
		for i := 0; i < 64; i += 1 << l {
			m[l] |= 1 << i
		}
	}
	return m
}()

// numbers lists the accelerator numbers from 0 to 63; contiguous placements
// are slices of it and need no allocation.
var acceleratorNumbers = func() (n [64]int) {
	for i := range n {
		n[i] = i
	}
	return n
}()

// lowMask returns the n lowest bits.
func lowMask(n int) uint64 {
	if n >= 64 {
		return ^uint64(0)
	}
	return 1<<n - 1
}

// levelFor returns the smallest level whose block holds n accelerators.
func levelFor(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}

// halves returns the starts of free blocks one level above those of starts.
func mergeBuddies(starts uint64, level int) uint64 {
	return starts & (starts >> (1 << level)) & alignedStarts[level+1]
}

// largestLevel returns the level of the largest free block, or -1. A worker
// whose accelerators are all free counts as one block even when their number
// is no power of two.
func largestFreeLevel(free, capacity uint64) int {
	if free == 0 {
		return -1
	}
	if free == capacity {
		return levelFor(bits.OnesCount64(capacity))
	}
	level := 0
	for s := free; level < maxBlockLevel; level++ {
		if s = mergeBuddies(s, level); s == 0 {
			break
		}
	}
	return level
}

// bestBlock returns n adjacent accelerators out of the smallest free block that
// holds them, so that larger blocks stay whole. It returns 0 if there is none.
func bestFitBlock(free, capacity uint64, n int) uint64 {
	if n <= 0 || bits.OnesCount64(free) < n {
		return 0
	}
	want, starts := levelFor(n), free
	for level := 0; level <= maxBlockLevel; level++ {
		var above uint64
		if level < maxBlockLevel {
			above = mergeBuddies(starts, level)
		}
		if level >= want {
			// Only blocks whose buddy is not free: those are not part of a larger one.
			if unmerged := starts &^ (above | above<<(1<<level)); unmerged != 0 {
				return lowMask(n) << bits.TrailingZeros64(unmerged)
			}
		}
		if starts = above; starts == 0 {
			break
		}
	}
	if free == capacity {
		return lowMask(n)
	}
	return 0
}

// listOf returns the accelerator numbers of mask; a contiguous run is shared
// and must not be changed.
func maskToList(mask uint64) []int {
	if mask == 0 {
		return nil
	}
	first, n := bits.TrailingZeros64(mask), bits.OnesCount64(mask)
	if mask == lowMask(n)<<first {
		return acceleratorNumbers[first : first+n : first+n]
	}
	out := make([]int, 0, n)
	for m := mask; m != 0; m &= m - 1 {
		out = append(out, bits.TrailingZeros64(m))
	}
	return out
}

// maskOf is the inverse of listOf.
func listToMask(list []int) (m uint64) {
	for _, i := range list {
		if i >= 0 && i < 64 {
			m |= 1 << i
		}
	}
	return m
}
