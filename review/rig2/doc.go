// Program rig2 plays the scripted cases of the second review: it starts instances of daisyrack as processes beside
// stand-ins of the users' platform, on loopback addresses.
package main
