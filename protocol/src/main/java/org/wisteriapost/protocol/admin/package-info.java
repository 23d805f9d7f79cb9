/**
 * The address at which a process is watched, the same for every role.
 */
package org.wisteriapost.protocol.admin;
