package sched

import "math/bits"

// The accelerators of a worker are the bits of a mask. A block is an aligned run
// of 2^level accelerators, as in a buddy allocator. Free blocks are derived from
// the mask, so splitting and merging need no bookkeeping.

const maxBlockLevel = 6 // a worker has at most 2^6 = 64 accelerators

// alignedStarts[l] has the bits set that are multiples of 2^l, where a block of
// level l may start.
var alignedStarts = func() (m [maxBlockLevel + 1]uint64) {
	for l := range m {
		for i := 0; i < 64; i += 1 << l {
			m[l] |= 1 << i
		}
	}
	return m
}()

// acceleratorNumbers lists the numbers 0 to 63. Contiguous placements are slices of
// it and need no memory allocation.
var acceleratorNumbers = func() (n [64]int) {
	for i := range n {
		n[i] = i
	}
	return n
}()

// lowMask returns a mask of the n lowest bits.
func lowMask(n int) uint64 {
	if n >= 64 {
		return ^uint64(0)
	}
	return 1<<n - 1
}

// levelFor returns the lowest level whose blocks hold n accelerators.
func levelFor(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}

// mergeBuddies returns the starts of the free blocks of the next higher level, given
// the starts of the free blocks of level.
func mergeBuddies(starts uint64, level int) uint64 {
	return starts & (starts >> (1 << level)) & alignedStarts[level+1]
}

// largestFreeLevel returns the level of the largest free block, or -1 if no
// accelerator is free. A worker whose accelerators are all free counts as one
// block even if their number is not a power of two.
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

// bestFitBlock returns the mask of n adjacent accelerators in the smallest free
// block that holds them, so that larger blocks are not split. It returns 0 if no
// block is large enough.
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
			// Blocks whose buddy is not free do not belong to a larger free block.
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

// maskToList returns the accelerator numbers in mask. The caller must not modify
// the slice, since contiguous runs share acceleratorNumbers.
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

// listToMask is the inverse of maskToList. Numbers outside 0 to 63 are ignored.
func listToMask(list []int) (m uint64) {
	for _, i := range list {
		if i >= 0 && i < 64 {
			m |= 1 << i
		}
	}
	return m
}
