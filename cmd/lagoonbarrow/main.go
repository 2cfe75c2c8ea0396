// Command lagoonbarrow runs a node and its operator commands.
package main

func main() {
}
