/**
 * Commands for the life cycle of a bundle: lint, propose, approve, roll, status, history.
 */
package org.wisteriapost.operator.bundle;
